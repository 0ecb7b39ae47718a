package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// chunkTokens is the number of tokens in each event of a stream.
const chunkTokens = 19

// run is one execution of a request by a server.
type run struct {
	at             time.Time
	server         string
	id, target     string
	tenant, method string
	body           string
	lastEvent      string
}

// runLog holds the runs of all servers.
type runLog struct {
	mu   sync.Mutex
	list []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run{}, l.list...)
}

// server is a stand-in for a model runner or a plain service. It follows PROTOCOL.md, "Runners" and "Service discovery".
type server struct {
	fleet   *fleet
	log     *runLog
	service string
	zone    string
	slots   int
	// work is the time that a plain request takes, and gap the time between the events of a stream, of which there are events.
	work, gap time.Duration
	events    int
	// version is the version of the server's software, which each event names.
	version string
	// poison is the text in a body that crashes the server; empty for none. It is back after downTime.
	poison   string
	downTime time.Duration

	mu       sync.Mutex
	id       string
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	// number counts the incarnations, active are the requests that the server runs, and cut those that a crash ended beside the one that
	// caused it.
	number int
	active map[string]bool
	cut    []string
}

// startServer starts a server and registers it.
func (f *fleet) startServer(s *server) error {
	s.fleet, s.conns, s.active = f, map[net.Conn]bool{}, map[string]bool{}
	l, err := net.Listen("tcp", f.subnet+".200:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	f.closers = append(f.closers, s.close)
	s.id = fmt.Sprintf("i-%s-%s", s.service, s.address[strings.LastIndex(s.address, ":")+1:])
	s.listen(l)
	s.register(s.version, time.Now())
	return nil
}

// listen serves requests at a listener.
func (s *server) listen(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.track}
	go func() { _ = h.Serve(l) }()
}

// register writes the server's entry to the platform.
func (s *server) register(version string, born time.Time) {
	s.fleet.platform.Set("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": version, "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": born.UnixMilli(),
	})
}

// track keeps the open connections.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

// crash resets all connections and takes the server away for downTime. Then it is back with another id.
func (s *server) crash(by string) {
	s.mu.Lock()
	id, lost := s.id, len(s.cut)
	for other := range s.active {
		if other != by {
			s.cut = append(s.cut, other)
		}
	}
	lost = len(s.cut) - lost
	s.active = map[string]bool{}
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	s.fleet.record.note("server %s crashes while it runs %s; %d other requests that it runs are cut", id, by, lost)
	time.AfterFunc(s.downTime, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			s.fleet.record.note("server at %s is not back: %v", s.address, err)
			return
		}
		s.fleet.platform.Delete("servers", id)
		s.mu.Lock()
		s.number++
		s.id = fmt.Sprintf("i-%s-%s-%d", s.service, s.address[strings.LastIndex(s.address, ":")+1:], s.number)
		s.mu.Unlock()
		s.listen(l)
		s.register(s.version, time.Now())
	})
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	own := s.id
	s.mu.Unlock()
	id := r.Header.Get("Chestnutcleat-Request-Id")
	w.Header().Set("Chestnutcleat-Request-Id", id)
	if e := r.Header.Get("Chestnutcleat-Expect-Instance"); id == "" || e != "" && e != own {
		w.Header().Set("Chestnutcleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	v := run{
		at: time.Now(), server: own, id: id, target: r.RequestURI, tenant: r.Header.Get("Chestnutcleat-Tenant"), method: r.Method,
		body: string(body), lastEvent: r.Header.Get("Last-Event-Id"),
	}
	s.log.add(v)
	s.mu.Lock()
	s.active[id] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, id)
	}()
	if s.poison != "" && strings.Contains(v.body, s.poison) {
		s.crash(id)
		return
	}
	w.Header().Set("Chestnutcleat-Server-Seal", "seal."+id)
	if s.events > 0 {
		s.writeStream(w, r, id)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, answerOf(id))
}

// answerOf returns the body of a plain answer.
func answerOf(id string) string { return "answer to " + id + " " + strings.Repeat("x", 780) }

// versionMark separates the text of an event from the software version that wrote it.
const versionMark = " at "

// eventData returns the data of an event of a stream, as a software version writes it.
func eventData(id, version string, n int) string {
	return fmt.Sprintf("%s piece %d", id, n) + versionMark + version
}

func (s *server) writeStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= s.events; n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, version, n))
		if c.Flush() != nil {
			return
		}
	}
}
