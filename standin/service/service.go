package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerRequestID = "X-Request-Id"
	maxBodyBytes    = 16 << 20
)

// Service is a stand-in for a plain service. The zero value is ready to use.
type Service struct {
	// Record keeps all received requests, which Received returns.
	Record bool

	mu         sync.Mutex
	faults     Faults
	executions map[string]int
	received   []Received
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if s.Record {
		s.mu.Lock()
		s.received = append(s.received, Received{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: body})
		s.mu.Unlock()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/faults" && r.Method == http.MethodPut {
		s.serveFaults(w, body)
		return
	}
	if r.URL.Path == "/executions" && r.Method == http.MethodGet {
		s.serveExecutions(w)
		return
	}
	f := s.nextFaults()
	if f.CutBefore {
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(time.Duration(f.Latency))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
	id := r.Header.Get(headerRequestID)
	n := s.countExecution(id)
	if f.Hang {
		<-r.Context().Done()
	}
	if f.CutAfter || f.Hang {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, f, id, n)
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, f Faults, id string, execution int) {
	if f.WrongID {
		id = "crossed-" + id
	}
	data := fmt.Appendf(nil, `{"id":%q,"method":%q,"path":%q,"execution":%d}`, id, r.Method, r.URL.Path, execution)
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	if !f.CutBody {
		w.Write(data)
		return
	}
	w.Write(data[:len(data)/2])
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) countExecution(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[id]++
	return s.executions[id]
}

func (s *Service) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Requests > 0 {
		s.faults.Requests--
		if s.faults.Requests == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

func (s *Service) serveFaults(w http.ResponseWriter, body []byte) {
	var f Faults
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// serveExecutions responds with Executions, for tests that run the service in another process.
func (s *Service) serveExecutions(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Executions()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the number of executions by request id.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Received returns the requests received so far, if Record is set.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}
