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
	headerRequest = "X-Request-Id"
	maxBody       = 16 << 20
)

// Service is a stand-in plain service.
type Service struct {
	// Record keeps every received request for Received.
	Record bool

	mu       sync.Mutex
	faults   Faults
	counts   map[string]int
	received []Received
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if s.Record {
		s.mu.Lock()
		s.received = append(s.received, Received{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: body})
		s.mu.Unlock()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/faults" && r.Method == http.MethodPut {
		s.putFaults(w, body)
		return
	}
	if r.URL.Path == "/executions" && r.Method == http.MethodGet {
		s.getExecutions(w)
		return
	}
	f := s.next()
	if f.CutBefore {
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(time.Duration(f.Latency))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
	id := r.Header.Get(headerRequest)
	n := s.execute(id)
	if f.Hang {
		<-r.Context().Done()
	}
	if f.CutAfter || f.Hang {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, f, id, n)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, f Faults, id string, n int) {
	if f.Crossed {
		id = "crossed-" + id
	}
	data := fmt.Appendf(nil, `{"id":%q,"method":%q,"path":%q,"execution":%d}`, id, r.Method, r.URL.Path, n)
	w.Header().Set(headerRequest, id)
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

func (s *Service) execute(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[id]++
	return s.counts[id]
}

func (s *Service) next() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Times > 0 {
		s.faults.Times--
		if s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

func (s *Service) putFaults(w http.ResponseWriter, body []byte) {
	var f Faults
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// getExecutions answers with Executions, for tests that run the stand-in as a process.
func (s *Service) getExecutions(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Executions()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the number of executions of each request id.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Received returns the requests received so far.
func (s *Service) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}
