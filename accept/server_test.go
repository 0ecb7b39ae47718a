package accept

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const request = "POST / HTTP/1.1\r\nHost: chestnutcleat\r\nContent-Length: 5\r\n\r\nhello"

// testCaller is a client connection to a server under test.
type testCaller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, s *Server) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testCaller{Conn: c, r: bufio.NewReader(c)}
}

func (c *testCaller) send(part string) error {
	_, err := fmt.Fprint(c, part)
	return err
}

// readStatus reads a response; last is set if it closes the connection.
func (c *testCaller) readStatus() (code int, last bool, err error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Close, resp.Body.Close()
}

// serve runs a server whose handler waits until it is released.
func serve(t *testing.T, release <-chan struct{}) *Server {
	t.Helper()
	s := NewServer(listen(t), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	})})
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func hasValue[T any](c <-chan T) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// shutdownResult is what a caller saw of a shutdown during its request.
type shutdownResult struct {
	code int
	last bool
	err  error
	// late is set if the whole request was sent so late that it need not be waited for.
	late bool
}

// shutdownDuringRequest shuts a server down after the first part of a request and sends the rest when listening has ended.
func shutdownDuringRequest(t *testing.T, before, after string) shutdownResult {
	t.Helper()
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, release)
	start := time.Now()
	c := dial(t, s)
	is.NoErr(c.send(before))
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(t.Context()) }()
	<-s.served
	sendErr := c.send(after)
	late := time.Since(start) >= firstByteTimeout
	time.AfterFunc(time.Millisecond, func() { close(release) })
	code, last, err := c.readStatus()
	is.NoErr(<-finished)
	return shutdownResult{code: code, last: last, err: errors.Join(sendErr, err), late: late}
}

// Callers whose connection was accepted must get a response, however much of their request had arrived when the shutdown began.
// http.Server.Shutdown closes the connections of the first three cases without a response.
func TestShutdownAnswers(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after string
	}{
		{"whole request after the end of listening", "", request},
		{"half a header before", request[:20], request[20:]},
		{"half a body before", request[:len(request)-2], request[len(request)-2:]},
		{"whole request before", request, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := shutdownDuringRequest(t, tt.before, tt.after)
			for r.err != nil && r.late {
				t.Logf("once more, as the request was sent after more than %v: %v", firstByteTimeout, r.err)
				r = shutdownDuringRequest(t, tt.before, tt.after)
			}
			is.NoErr(r.err)
			is.Equal(r.code, http.StatusNoContent)
			is.True(r.last) // the caller is told that the connection closes
		})
	}
}

// A connection that sends nothing must not delay the shutdown. One with a request in progress must, until the context ends.
func TestShutdownEnds(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, release)
	dial(t, s)
	busy := dial(t, s)
	is.NoErr(busy.send(request))
	awaitState(t, s, stateBusy)
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan error, 1)
	go func() { finished <- s.Shutdown(ctx) }()
	<-s.served
	for count := 2; count != 1; count, _ = s.conns.closeIdle() {
		time.Sleep(firstByteTimeout / 10)
	}
	is.True(!hasValue(finished)) // waits for the request in progress
	cancel()
	err := <-finished
	is.True(errors.Is(err, context.Canceled))
	close(release)
}

// awaitState waits until a connection of the server has a state.
func awaitState(t *testing.T, s *Server, state int32) {
	t.Helper()
	reached := func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		for c := range s.conns.open {
			if c.state.Load() == state {
				return true
			}
		}
		return false
	}
	for !reached() {
		time.Sleep(time.Millisecond)
	}
}

// keep sends a request on a new connection, which the server then keeps.
func keep(t *testing.T, s *Server) *testCaller {
	t.Helper()
	c := dial(t, s)
	if err := c.send(request); err != nil {
		t.Fatal(err)
	}
	if _, last, err := c.readStatus(); err != nil || last {
		t.Fatalf("response closes the connection: %t, error: %v", last, err)
	}
	awaitState(t, s, stateIdle)
	return c
}

// A kept connection on which a request has begun must get its response: a shutdown closed it as idle, since net/http counts a
// connection as active only once the whole header has been read.
func TestShutdownAnswersOnKeptConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before int
	}{
		{"one byte before", 1},
		{"half a header before", 20},
		{"all but the end of the header before", strings.Index(request, "\r\n\r\n") + 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			close(release)
			s := serve(t, release)
			c := keep(t, s)
			is.NoErr(c.send(request[:tt.before]))
			awaitState(t, s, stateBusy)
			idle := keep(t, s)
			finished := make(chan error, 1)
			go func() { finished <- s.Shutdown(t.Context()) }()
			_, _, err := idle.readStatus()
			is.True(errors.Is(err, io.ErrUnexpectedEOF)) // the idle connections have been closed
			is.NoErr(c.send(request[tt.before:]))
			code, last, err := c.readStatus()
			is.NoErr(err)
			is.Equal(code, http.StatusNoContent)
			is.True(last) // the caller is told that the connection closes
			is.NoErr(<-finished)
		})
	}
}

// A request that was read together with the one before it must get its response: it needs no further bytes from the connection, which
// thus counted as idle and was closed while the request was in progress.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	release, handled := make(chan struct{}, 2), make(chan struct{}, 2)
	s := NewServer(listen(t), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})})
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	c := dial(t, s)
	is.NoErr(c.send(request + request))
	release <- struct{}{}
	_, last, err := c.readStatus()
	is.NoErr(err)
	is.True(!last)
	<-handled
	<-handled // the second request is in progress
	pending, _ := s.conns.closeIdle()
	is.Equal(pending, 1)
	release <- struct{}{}
	code, _, err := c.readStatus()
	is.NoErr(err)
	is.Equal(code, http.StatusNoContent)
	is.NoErr(s.Close())
	is.NoErr(<-done)
}

// sendUntilClosed sends one request after another until the server ends the connection, and a value to answered for each that is
// answered before. It returns the path of a request without an answer, if there is one.
func (c *testCaller) sendUntilClosed(caller int, answered chan<- struct{}) (failed string) {
	for n := 0; ; n++ {
		path := fmt.Sprintf("/%d/%d", caller, n)
		if c.send("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello") != nil {
			return ""
		}
		_, last, err := c.readStatus()
		if err != nil {
			return path
		}
		if last {
			return ""
		}
		select {
		case answered <- struct{}{}:
		default:
		}
	}
}

// No request that reached the handler on a kept connection may go without its answer, whenever the shutdown begins: with the state that
// net/http gives to connections, a quarter of the requests that crossed the close were handled and not answered.
func TestShutdownLosesNoHandledRequest(t *testing.T) {
	const rounds, connections = 40, 24
	for round := range rounds {
		var mu sync.Mutex
		handled := map[string]bool{}
		s := NewServer(listen(t), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			handled[r.URL.Path] = true
			w.WriteHeader(http.StatusNoContent)
		})})
		done := make(chan error, 1)
		go func() { done <- s.Serve() }()
		var failed []string
		answered := make(chan struct{}, connections*rounds)
		var callers sync.WaitGroup
		for i := range connections {
			c := dial(t, s)
			callers.Go(func() {
				if path := c.sendUntilClosed(i, answered); path != "" {
					mu.Lock()
					defer mu.Unlock()
					failed = append(failed, path)
				}
			})
		}
		for range connections * (1 + round%5) {
			<-answered
		}
		if err := s.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		callers.Wait()
		if err := <-done; err != nil {
			t.Error(err)
		}
		for _, path := range failed {
			if handled[path] {
				t.Errorf("round %d: request %s was handled and not answered", round, path)
			}
		}
	}
}

// A request that was read together with the one before it must not run once its connection was closed as idle in between: it ran at an
// instance without anybody to answer.
func TestClosedConnectionRunsNoRequest(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	s := NewServer(listen(t), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusNoContent)
	})})
	ended := make(chan struct{})
	track := s.HTTP.ConnState
	s.HTTP.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		switch state {
		case http.StateIdle:
			// The shutdown looks for idle connections at this moment.
			s.conns.closeIdle()
		case http.StateClosed:
			close(ended)
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	is.NoErr(dial(t, s).send(request + request))
	<-ended
	is.Equal(handled.Load(), int32(1))
	is.NoErr(s.Close())
	is.NoErr(<-done)
}
