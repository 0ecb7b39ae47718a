package exchange

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
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// connHandler simulates an instance: it is called for each new connection, with its number from 0.
type connHandler func(n int, c net.Conn)

func newPool(t *testing.T, handle connHandler) (*Pool, *int) {
	p := NewPool(net.KeepAliveConfig{})
	var mu sync.Mutex
	opened := 0
	p.Dial = func(context.Context, chestnutcleat.Address) (net.Conn, error) {
		mu.Lock()
		n := opened
		opened++
		mu.Unlock()
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			handle(n, server)
		}()
		return client, nil
	}
	t.Cleanup(p.Close)
	return p, &opened
}

// serve reads requests and responds to each with the next answer; the last one is repeated.
func serve(answers ...string) connHandler {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for i := 0; ; i++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answers[min(i, len(answers)-1)]); err != nil {
				return
			}
		}
	}
}

// serveOnce responds to one request on each connection and closes it.
func serveOnce(answer string) connHandler {
	return func(_ int, c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, answer)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// lastID numbers the requests of the tests, each of which has an id of its own.
var lastID atomic.Int64

func newID() chestnutcleat.RequestID { return chestnutcleat.RequestID(fmt.Sprint("r", lastID.Add(1))) }

func post(p *Pool, body string) (string, error) {
	r, err := p.Do(context.Background(), "a", &Request{ID: newID(), Method: "POST", Target: "/x?y=1", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	defer r.Close()
	data, err := io.ReadAll(r)
	return string(data), err
}

// expectResponses sends requests one after the other and expects a response with the body want to each.
func expectResponses(is *is.I, p *Pool, times int, want string) {
	is.Helper()
	for range times {
		body, err := post(p, "b")
		is.NoErr(err)
		is.Equal(body, want)
	}
}

// Complete exchanges must reuse one connection, as each connection costs the instance resources.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	expectResponses(is, p, 3, "ok")
	is.Equal(*opened, 1)
}

// Bytes after a response belong to no request and must not be taken for the response to the next one.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse+okResponse))
	expectResponses(is, p, 3, "ok")
	is.Equal(*opened, 3)
}

// Each kind of invalid or truncated response must result in an error that says that the request may have run.
func TestInvalidResponses(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":         "",
		"no answer":       "garbage\r\n\r\n",
		"cut header":      "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body":        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"cut chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"wrong chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
		"other protocol":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"two lengths":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"negative length": "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, opened := newPool(t, serveOnce(answer))
			_, err := post(p, "b")
			is.True(err != nil)
			var e *Error
			if errors.As(err, &e) {
				is.True(e.Sent)
			}
			_, err = post(p, "b")
			is.True(err != nil)
			is.Equal(*opened, 2) // the broken connection is not used again
		})
	}
}

// Idle connections that are no longer needed must be closed to free their file descriptors: the most recently used connection is
// taken first, so the others are never checked for expiry on use.
func TestIdleConnectionsArePruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := newPool(t, serve("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"))
		request := func() *Response {
			r, err := p.Do(t.Context(), "a", &Request{ID: newID(), Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			is.NoErr(err)
			_, err = io.ReadAll(r)
			is.NoErr(err)
			return r
		}
		for _, r := range []*Response{request(), request(), request()} {
			r.Close()
		}
		is.Equal(*opened, 3)
		for range 5 {
			time.Sleep(2 * time.Second)
			request().Close()
		}
		is.Equal(*opened, 3)
		is.Equal(len(p.idle["a"]), 1)
		p.Close()
	})
}

// A response without a length ends with its connection, which must not be reused.
func TestNoLength(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serveOnce("HTTP/1.1 200 OK\r\n\r\nto the end"))
	expectResponses(is, p, 2, "to the end")
	is.Equal(*opened, 2)
}

// Interim (1xx) responses must be skipped.
func TestInterimResponses(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(t, serve("HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse))
	expectResponses(is, p, 1, "ok")
}

// If an instance responds before it has read a long body, the response must be returned, and the connection must not be reused:
// the next request would be read as the rest of the body.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, func(n int, c net.Conn) {
		if n > 0 {
			serve(okResponse)(n, c)
			return
		}
		// The rest of the body is never read, so a client that writes it all first would block forever.
		buffer := make([]byte, 1<<10)
		_, _ = c.Read(buffer)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Hour)
	})
	r, err := p.Do(t.Context(), "a", &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 1<<20)})
	is.NoErr(err)
	is.Equal(r.Status, 503)
	_, err = io.ReadAll(r)
	is.NoErr(err)
	r.Close()
	expectResponses(is, p, 1, "ok")
	is.Equal(*opened, 2)
}

// An expired context must interrupt a waiting exchange and close its connection, so that the instance stops.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := false
		p, _ := newPool(t, func(_ int, c net.Conn) {
			_, _ = io.Copy(io.Discard, c)
			closed = true
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := p.Do(ctx, "a", &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(start), time.Second)
		synctest.Wait()
		is.True(closed)
	})
}

// An idle connection must not be used after the Keep-Alive timeout of the instance: if the instance closes it at that moment, a
// non-idempotent request could not be retried.
func TestIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := newPool(t, serve("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"))
		for i, wait := range []time.Duration{0, 4 * time.Second, 4600 * time.Millisecond} {
			time.Sleep(wait)
			_, err := post(p, "b")
			is.NoErr(err)
			is.Equal(*opened, 1+i/2)
		}
		p.Close()
	})
}

// A socket that was closed, or that has received late bytes, must not be reusable.
func TestReusableConnection(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"closed":     func(c net.Conn) { c.Close() },
		"late bytes": func(c net.Conn) { _, _ = io.WriteString(c, okResponse) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer client.Close()
			server, err := l.Accept()
			is.NoErr(err)
			defer server.Close()
			c := &conn{Conn: client, reader: bufio.NewReader(client)}
			is.True(c.reusable())
			act(server)
			// Waits until the bytes or the end of the connection have arrived.
			_, _ = c.reader.Peek(1)
			c.reader = bufio.NewReader(client)
			if name == "late bytes" {
				_, err = io.WriteString(server, okResponse)
				is.NoErr(err)
				for c.reusable() {
					time.Sleep(time.Millisecond)
				}
			}
			is.True(!c.reusable())
		})
	}
}

// The path and query must reach the instance unchanged, without decoding or cleaning.
func TestTarget(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	p, _ := newPool(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		seen <- strings.TrimSpace(line)
	})
	_, err := p.Do(t.Context(), "a", &Request{Method: "GET", Target: "/a%2Fb//c/?q=%20&r", Host: "h", Header: http.Header{}})
	is.True(err != nil)
	is.Equal(<-seen, "GET /a%2Fb//c/?q=%20&r HTTP/1.1")
}

// Whatever an instance sends, an exchange must end, return a connection only after a complete response and never panic. All input
// is followed by the end of the connection.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte(okResponse + okResponse))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		p := NewPool(net.KeepAliveConfig{})
		defer p.Close()
		p.Dial = func(context.Context, chestnutcleat.Address) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				serveOnce(string(answer))(0, server)
				server.Close()
			}()
			return client, nil
		}
		r, err := p.Do(t.Context(), "a", &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b")})
		if err != nil {
			return
		}
		if r.Status < 200 || r.Status == http.StatusSwitchingProtocols {
			t.Errorf("status %d is not final", r.Status)
		}
		n, err := io.Copy(io.Discard, r)
		if n > int64(len(answer)) || err == nil && r.Length >= 0 && n != r.Length {
			t.Errorf("%d bytes of a body of %d, error %v", n, r.Length, err)
		}
		r.Close()
		if err != nil && len(p.idle["a"]) > 0 {
			t.Error("the connection is kept after an incomplete response")
		}
	})
}
