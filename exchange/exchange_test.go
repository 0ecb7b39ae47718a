package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// script plays an instance: it gets each new connection with its number from 0.
type script func(n int, c net.Conn)

func newPool(t *testing.T, s script) (*Pool, *int) {
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
			s(n, server)
		}()
		return client, nil
	}
	t.Cleanup(p.Close)
	return p, &opened
}

// serve reads requests and answers each with the next text; the last one is repeated.
func serve(answers ...string) script {
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

// once answers one request on each connection and closes it.
func once(answer string) script {
	return func(_ int, c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, answer)
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(p *Pool, body string) (string, error) {
	r, err := p.Do(context.Background(), "a", &Request{Method: "POST", Target: "/x?y=1", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	defer r.Close()
	data, err := io.ReadAll(r)
	return string(data), err
}

// gets sends some requests, each of which must be answered with the body.
func gets(is *is.I, p *Pool, times int, want string) {
	is.Helper()
	for range times {
		body, err := get(p, "b")
		is.NoErr(err)
		is.Equal(body, want)
	}
}

// Connections cost at the instances, so whole exchanges must share one.
func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(whole))
	gets(is, p, 3, "ok")
	is.Equal(*opened, 1)
}

// Bytes behind an answer belong to no request and must not become the answer of the next one.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(whole+whole))
	gets(is, p, 3, "ok")
	is.Equal(*opened, 3)
}

// Each way in which an answer may be spoiled must give an error that says that the request may have run.
func TestSpoiledAnswers(t *testing.T) {
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
			p, opened := newPool(t, once(answer))
			_, err := get(p, "b")
			is.True(err != nil)
			var e *Error
			if errors.As(err, &e) {
				is.True(e.Sent)
			}
			_, err = get(p, "b")
			is.True(err != nil)
			is.Equal(*opened, 2) // the spoiled connection is not used again
		})
	}
}

// Idle connections that no request takes again must not keep their descriptors: the last one used is taken first.
func TestIdleConnectionsArePruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := newPool(t, serve("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"))
		request := func() *Response {
			r, err := p.Do(t.Context(), "a", &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
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

// An answer without a length ends with its connection, which must not be kept.
func TestNoLength(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, once("HTTP/1.1 200 OK\r\n\r\nto the end"))
	gets(is, p, 2, "to the end")
	is.Equal(*opened, 2)
}

// Interim answers come before the answer itself.
func TestInterim(t *testing.T) {
	is := is.New(t)
	p, _ := newPool(t, serve("HTTP/1.1 103 Early Hints\r\n\r\n"+whole))
	gets(is, p, 1, "ok")
}

// An instance that answers before it has read a long body must be heard, and its connection must not carry another request
// in place of the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, func(n int, c net.Conn) {
		if n > 0 {
			serve(whole)(n, c)
			return
		}
		// The rest of the body is never read: both sides would wait for each other.
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
	gets(is, p, 1, "ok")
	is.Equal(*opened, 2)
}

// The end of the caller's time must interrupt an exchange that waits, and close its connection so that the instance stops.
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

// A connection that the instance closed while idle, or that is past its stated idle time, must not carry a request: what
// may not be repeated could not be sent again.
func TestIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := newPool(t, serve("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"))
		for i, wait := range []time.Duration{0, 4 * time.Second, 4600 * time.Millisecond} {
			time.Sleep(wait)
			_, err := get(p, "b")
			is.NoErr(err)
			is.Equal(*opened, 1+i/2)
		}
		p.Close()
	})
}

// A closed socket and one with late bytes must be told from a quiet one.
func TestQuietSocket(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"closed":     func(c net.Conn) { c.Close() },
		"late bytes": func(c net.Conn) { _, _ = io.WriteString(c, whole) },
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
			is.True(c.quiet())
			act(server)
			// The bytes are on their way; a read waits for them without taking them out of the reader.
			_, _ = c.reader.Peek(1)
			c.reader = bufio.NewReader(client)
			if name == "late bytes" {
				_, err = io.WriteString(server, whole)
				is.NoErr(err)
				for c.quiet() {
					time.Sleep(time.Millisecond)
				}
			}
			is.True(!c.quiet())
		})
	}
}

// The path and query must reach the instance as the caller sent them.
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
