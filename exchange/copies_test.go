package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// sendAs sends a request with an id and reads its response.
func sendAs(t *testing.T, is *is.I, p *Pool, id chestnutcleat.RequestID) {
	is.Helper()
	r, err := p.Do(t.Context(), "a", &Request{ID: id, Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	is.NoErr(err)
	_, err = io.ReadAll(r)
	is.NoErr(err)
	r.Close()
}

// Guards against a second copy of an answer being taken for the answer to a repeated request with the same id: the id
// can't tell them apart, so such a request needs a connection that has not carried the id.
func TestSameIDIsNotSentTwiceOnAConnection(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	for _, tt := range []struct {
		id     chestnutcleat.RequestID
		opened int
	}{
		{"a", 1}, {"b", 1}, {"a", 2}, {"c", 2}, {"b", 2}, {"a", 3}, {"b", 3}, {"c", 3}, {"d", 3},
	} {
		sendAs(t, is, p, tt.id)
		is.Equal(*opened, tt.opened)
	}
}

// The ids that a connection keeps must not grow without bound, and a bound must not cost many connections.
func TestRequestsPerConnection(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	expectResponses(is, p, maxRequestsPerConn, "ok")
	is.Equal(*opened, 1)
	expectResponses(is, p, 1, "ok")
	is.Equal(*opened, 2)
}

// A caller that repeats its id must not add connections to an instance, which allows a limited number.
func TestRepeatedIDAddsNoConnections(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	for i := range 9 {
		sendAs(t, is, p, "a")
		is.Equal(*opened, i+1)
		is.Equal(len(p.idle["a"]), 1)
	}
}

// Guards against bytes without end behind a complete answer, also where the answer has no body: they must cost no more than the
// kernel's buffers, end with the connection, and never be taken for the next answer.
func TestEndlessBytesAfterAnswer(t *testing.T) {
	for name, tt := range map[string]struct{ method, answer string }{
		"no content":   {"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		"not modified": {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
		"head":         {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"},
		"length":       {"GET", okResponse},
		"chunks":       {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			var opened, sent atomic.Int64
			var connections sync.WaitGroup
			p := NewPool(net.KeepAliveConfig{})
			p.Dial = func(context.Context, chestnutcleat.Address) (net.Conn, error) {
				client, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return nil, err
				}
				server, err := l.Accept()
				if err != nil {
					return nil, err
				}
				opened.Add(1)
				connections.Go(func() { answerEndlessly(server, tt.answer, &sent) })
				return client, nil
			}
			for i := range 3 {
				r, err := p.Do(t.Context(), "a", &Request{ID: newID(), Method: tt.method, Target: "/", Host: "h", Header: http.Header{}})
				is.NoErr(err)
				_, err = io.ReadAll(r)
				is.NoErr(err)
				r.Close()
				is.Equal(opened.Load(), int64(i+1))
			}
			p.Close()
			connections.Wait()
			is.True(sent.Load() <= 3*maxSocketBuffers)
		})
	}
}

// maxSocketBuffers is more than the buffers of a connection in the kernel hold, in bytes.
const maxSocketBuffers = 16 << 20

// answerEndlessly answers one request and sends copies of the answer until the connection is closed.
func answerEndlessly(c net.Conn, answer string, sent *atomic.Int64) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	block := strings.Repeat(answer, 100)
	for {
		n, err := io.WriteString(c, block)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
