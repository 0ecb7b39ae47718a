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

// Headers of the protocol that callers check too.
const (
	// HeaderID is the id of the request, and HeaderSignature the signature of the instance.
	HeaderID        = "Chestnutcleat-Request-Id"
	HeaderSignature = "Chestnutcleat-Server-Seal"
)

// Headers between entry VMs and instances.
const (
	headerExpectedInstance = "Chestnutcleat-Expect-Instance"
	headerCustomer         = "Chestnutcleat-Tenant"
	headerNotExecuted      = "Chestnutcleat-Not-Executed"
	headerLastEventID      = "Last-Event-Id"
	headerDeadline         = "Chestnutcleat-Deadline-Ms"
)

// signature is the signature of all answers.
const signature = "seal"

// eventInterval is the time between two events of a stream.
const eventInterval = 15 * time.Millisecond

// Run is the execution of a request by an instance.
type Run struct {
	Instance, Path, Customer, Body string
	// Version is the software version that ran it.
	Version string
	// LastEventID is the last event that the client has from an earlier run; -1 for a run from the start.
	LastEventID int
	// At is the start time, and Wait how long the VM says that the answer is waited for; zero if it does not say.
	At   time.Time
	Wait time.Duration
	// StartedAt is the time at which the instance that ran the request started, in Unix milliseconds, and Leaving is set if its answer
	// says that it leaves.
	StartedAt int64
	Leaving   bool
}

// Log records the runs of all instances by request id.
type Log struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// Add records a run of a request.
func (l *Log) Add(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]Run{}
	}
	l.runs[id] = append(l.runs[id], r)
}

// Runs returns the runs of a request in the order in which they began.
func (l *Log) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs[id]...)
}

// All returns the runs of each request, in the order in which they began. The order of requests is random.
func (l *Log) All() [][]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.runs))
}

// Faults holds the faults that an instance injects; the rates are fractions of its requests.
type Faults struct {
	// ErrorRate is the fraction that gets a response with status 500.
	ErrorRate float64
	// ConnectionLossRate is the fraction that is recorded as run, and whose connection is closed without a response.
	ConnectionLossRate float64
	// DuplicateRate is the fraction of plain requests whose response is sent a second time, later, on the same connection.
	DuplicateRate float64
	// RepeatedRefusalRate is the fraction that runs, but gets an earlier refusal once more in place of its answer.
	RepeatedRefusalRate float64
	// EndlessRate is the fraction that gets bytes until the connection is closed, in the header, the body or an event.
	EndlessRate float64
	// DripRate is the fraction that gets a single byte now and then, without end, in the header, the body or an event.
	DripRate float64
	// BreakAfter is the number of events of a run after which a stream's connection is closed within the next event; zero breaks none.
	BreakAfter int
	// UnframedRate is the fraction whose response has neither a length nor chunks, and CutRate the fraction of these that are cut.
	UnframedRate, CutRate float64
	// Delay is a delay before each response and each event.
	Delay time.Duration
}

// duplicateDelay is the time between the two copies of a duplicated response.
const duplicateDelay = 30 * time.Millisecond

// Server is an instance of a service.
type Server struct {
	ID      string
	Log     *Log
	faults  atomic.Pointer[Faults]
	version atomic.Value
	start   atomic.Pointer[start]
}

// SetVersion replaces the software version, for the requests that arrive from now on.
func (s *Server) SetVersion(v string) { s.version.Store(v) }

// Version returns the software version, which is empty until one is set.
func (s *Server) Version() string {
	v, _ := s.version.Load().(string)
	return v
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	w.Header().Set(HeaderID, id)
	current := s.currentStart()
	current.announce(w.Header())
	if e := r.Header.Get(headerExpectedInstance); id == "" || e != "" && e != s.ID {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		Instance: s.ID, Version: s.Version(), Path: r.URL.Path, Customer: r.Header.Get(headerCustomer), Body: string(body), LastEventID: -1,
		At: time.Now(), StartedAt: current.at, Leaving: current.leaving,
	}
	if n, err := strconv.Atoi(r.Header.Get(headerLastEventID)); err == nil {
		run.LastEventID = n
	}
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		run.Wait = time.Duration(ms) * time.Millisecond
	}
	s.Log.Add(id, run)
	var f Faults
	if p := s.faults.Load(); p != nil {
		f = *p
	}
	time.Sleep(f.Delay)
	w.Header().Set(HeaderSignature, signature)
	switch {
	case rand.Float64() < f.ErrorRate:
		http.Error(w, "failed", http.StatusInternalServerError)
	case rand.Float64() < f.ConnectionLossRate:
		panic(http.ErrAbortHandler)
	case rand.Float64() < f.RepeatedRefusalRate:
		repeatRefusal(w, id)
	case rand.Float64() < f.EndlessRate:
		writeEndlessly(w, id, longJunk, 0)
	case rand.Float64() < f.DripRate:
		writeEndlessly(w, id, "x", dripInterval)
	case rand.Float64() < f.UnframedRate:
		writeUnframed(w, id, &run, &f)
	case strings.HasPrefix(r.URL.Path, StreamPrefix):
		writeStream(w, r, StreamName(r.URL.Path, id), run, f)
	case rand.Float64() < f.DuplicateRate:
		writeTwice(w, id, Answer(id, run.Body))
	default:
		_, _ = io.WriteString(w, Answer(id, run.Body))
	}
}

// writeStream sends the events of a stream after the last one that the client has.
func writeStream(w http.ResponseWriter, r *http.Request, name string, run Run, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	first := max(1, run.LastEventID+1)
	for n := first; n <= EventCount(name); n++ {
		time.Sleep(eventInterval + f.Delay)
		if r.Context().Err() != nil {
			return
		}
		if f.BreakAfter > 0 && n-first == f.BreakAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			// The error is ignored: the connection ends in any case.
			_ = c.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventText(name, run.Version, n))
		if c.Flush() != nil {
			return
		}
	}
}

// writeTwice sends a response and, after duplicateDelay, a second copy that belongs to no request.
func writeTwice(w http.ResponseWriter, id, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderID, id, HeaderSignature, signature, len(body), body)
	for range 2 {
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		time.Sleep(duplicateDelay)
	}
}

// repeatRefusal sends a refusal of an earlier request: without an id, with that request's id, or cut off in its head, with the head of
// the answer to this request behind it.
func repeatRefusal(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	beginning := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n", headerNotExecuted)
	endings := []string{
		"Content-Length: 0\r\n\r\n",
		fmt.Sprintf("%s: earlier\r\nContent-Length: 0\r\n\r\n", HeaderID),
		fmt.Sprintf("X: HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderID, id, HeaderSignature, signature),
	}
	// A write error means that the connection is closed.
	_, _ = io.WriteString(c, beginning+endings[rand.IntN(len(endings))])
}

// longJunk is what an endless response repeats at full speed; dripInterval is the time between the bytes of one that drips.
var longJunk = strings.Repeat("x", 4<<10)

const dripInterval = 100 * time.Millisecond

// writeEndlessly sends one part of a response and repeats junk in it without end, with pauses, until the connection is closed.
func writeEndlessly(w http.ResponseWriter, id, junk string, pause time.Duration) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", HeaderID, id, HeaderSignature, signature)
	starts := []string{"HTTP/1.1 200 ", head + "X: ", head + "\r\n", head + "\r\ndata: "}
	_, err = io.WriteString(c, starts[rand.IntN(len(starts))])
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(c, junk)
	}
}
