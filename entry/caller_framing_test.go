package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/standin/pipe"
)

// lingerConn records whether it is closed by a reset, as a TCP connection would be.
type lingerConn struct {
	net.Conn
	reset atomic.Bool
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return nil
}

// lingerListener wraps the connection that it accepts.
type lingerListener struct {
	*pipe.Listener
	accepted lingerConn
}

func (l *lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Conn = c
	return &l.accepted, nil
}

// ask sends a request by the given protocol and returns what arrives until the connection ends, and whether a reset ends it.
func (h *harness) ask(protocol, path string) (response string, reset bool) {
	l := &lingerListener{Listener: pipe.Listen()}
	server := &http.Server{Handler: h.handler}
	h.goroutines.Go(func() { _ = server.Serve(l) })
	client, err := l.Dial(context.Background())
	if err != nil {
		h.t.Fatal(err)
	}
	const head = "POST %s %s\r\nHost: h\r\nAuthorization: Bearer key\r\nChestnutcleat-Request-Id: r1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb"
	if _, err = fmt.Fprintf(client, head, path, protocol); err != nil {
		h.t.Fatal(err)
	}
	data, err := io.ReadAll(client)
	if err != nil {
		h.t.Fatal(err)
	}
	server.Close()
	synctest.Wait()
	return string(data), l.accepted.reset.Load()
}

// looksComplete reports whether a caller must take a response for complete.
func looksComplete(response string, reset bool) bool {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(r.Body)
	return err == nil && (!reset || r.ContentLength >= 0)
}

// A caller must be able to tell a stream that broke off from a complete one by its protocol alone, whatever frames the instance's answer:
// one by HTTP/1.0 got a stream that broke off between two events with the same end as a complete one.
func TestCallerCanTellBrokenStream(t *testing.T) {
	framings := map[string]string{"length": "Content-Length: 1000\r\n", "none": ""}
	for framing, header := range framings {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, whole := range []bool{false, true} {
				t.Run(fmt.Sprint(framing, " ", protocol, " ", whole), func(t *testing.T) {
					header, text := header, streamText(3)
					if whole {
						header = strings.Replace(header, "1000", fmt.Sprint(len(text)), 1)
					} else {
						text += "id: 4\nda"
					}
					runInBubble(t, func(_ *receivedRequest, _ *http.Request, w io.Writer) bool {
						fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%s%s\r\n%s", sealHeader, header, text)
						return false
					}, func(is *is.I, h *harness) {
						response, reset := h.ask(protocol, "/kept/")
						is.True(strings.Contains(response, "piece 3"))
						is.Equal(looksComplete(response, reset), whole)
						is.Equal(reset, !whole && protocol == "HTTP/1.0")
					})
				})
			}
		}
	}
}

// A plain answer on a streaming route must have its length, so that a caller can tell a part of it: a long one had none by HTTP/1.0.
func TestPlainAnswerOfStreamHasLength(t *testing.T) {
	text := strings.Repeat("x", 5000)
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		respond(q, w, 400, sealHeader, text)
		return true
	}, func(is *is.I, h *harness) {
		response, _ := h.ask("HTTP/1.0", "/kept/")
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
		is.NoErr(err)
		is.Equal(r.ContentLength, int64(len(text)))
	})
}
