package instance

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the users' protocol that callers look at too.
const (
	// HeaderID names the request, and HeaderSigned is an instance's signature.
	HeaderID     = "Chestnutcleat-Request-Id"
	HeaderSigned = "Chestnutcleat-Server-Seal"
)

// Headers between entry VMs and instances.
const (
	headerExpected = "Chestnutcleat-Expect-Instance"
	headerCustomer = "Chestnutcleat-Tenant"
	headerNotRun   = "Chestnutcleat-Not-Executed"
	headerResume   = "Last-Event-Id"
)

// pieceTime is the time between two events of a stream.
const pieceTime = 15 * time.Millisecond

// Run is one request that an instance began to run.
type Run struct {
	Instance, Path, Customer, Body string
	// Resumed is the last event that was delivered before; -1 for a run from the start.
	Resumed int
	// At is when it began.
	At time.Time
}

// Log keeps what all instances ran, by request.
type Log struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// Add notes a run of a request.
func (l *Log) Add(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]Run{}
	}
	l.runs[id] = append(l.runs[id], r)
}

// Of returns the runs of a request.
func (l *Log) Of(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs[id]...)
}

// All returns the runs of each request, in the order of their times.
func (l *Log) All() [][]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.runs))
}

// Faults makes an instance misbehave; shares are parts of its requests.
type Faults struct {
	// Errors are answered with a failure of the instance's own.
	Errors float64
	// Lost are run, and their answers are lost with the connection.
	Lost float64
	// Twice are plain answers that are sent once more, late, on the same connection.
	Twice float64
	// Slow is added to each answer and each event.
	Slow time.Duration
}

// lateCopy is when the second copy of an answer is sent.
const lateCopy = 30 * time.Millisecond

// Server is one instance.
type Server struct {
	ID     string
	Log    *Log
	faults atomic.Pointer[Faults]
}

// SetFaults replaces the instance's faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	if e := r.Header.Get(headerExpected); id == "" || e != "" && e != s.ID {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{Instance: s.ID, Path: r.URL.Path, Customer: r.Header.Get(headerCustomer), Body: string(body), Resumed: -1, At: time.Now()}
	if n, err := strconv.Atoi(r.Header.Get(headerResume)); err == nil {
		run.Resumed = n
	}
	s.Log.Add(id, run)
	var f Faults
	if p := s.faults.Load(); p != nil {
		f = *p
	}
	time.Sleep(f.Slow)
	w.Header().Set(HeaderID, id)
	w.Header().Set(HeaderSigned, "seal")
	switch {
	case rand.Float64() < f.Errors:
		http.Error(w, "failed", http.StatusInternalServerError)
	case rand.Float64() < f.Lost:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, StreamPrefix):
		stream(w, r, id, run.Resumed, f.Slow)
	case rand.Float64() < f.Twice:
		twice(w, id, Answer(id, run.Body))
	default:
		_, _ = io.WriteString(w, Answer(id, run.Body))
	}
}

// stream sends the events after the last one that was delivered.
func stream(w http.ResponseWriter, r *http.Request, id string, last int, slow time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n := max(1, last+1); n <= Pieces(id); n++ {
		time.Sleep(pieceTime + slow)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Piece(id, n))
		if c.Flush() != nil {
			return
		}
	}
}

// twice sends an answer and, late, a second copy of it, which belongs to no request.
func twice(w http.ResponseWriter, id, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s", HeaderID, id, HeaderSigned, len(body), body)
	for range 2 {
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		time.Sleep(lateCopy)
	}
}
