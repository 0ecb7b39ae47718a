package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// plainOutcome is what a caller must get of a stream without length or chunks whose connection ends after some bytes, by a parser that
// shares nothing with the code under test.
func plainOutcome(received, head string) (events string, complete bool) {
	body, ok := strings.CutPrefix(received, head)
	if !ok {
		return "", false
	}
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return "", body == ""
	}
	return body[:end+2], len(body) == end+2
}

// A stream without length or chunks ends with its connection: one that ends inside an event was broken off and must not look complete,
// one that ends between two events is complete. Checks each byte at which it may end.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, connection := range []string{"", "Connection: close\r\n"} {
			head := protocol + " 200 OK\r\nChestnutcleat-Request-Id: r1\r\n" + sealHeader + "Content-Type: text/event-stream\r\n" + connection + "\r\n"
			whole := head + streamText(3)
			t.Run(protocol+" "+strings.TrimSpace(connection), func(t *testing.T) {
				for n := range len(whole) + 1 {
					runInBubble(t, func(_ *receivedRequest, _ *http.Request, w io.Writer) bool {
						fmt.Fprint(w, whole[:n])
						return false
					}, func(is *is.I, h *harness) {
						events, complete := plainOutcome(whole[:n], head)
						resp, body, err := h.do(h.t.Context(), "/kept/", "b")
						if n < len(head) {
							is.NoErr(err)
							is.Equal(resp.StatusCode, 502)
							return
						}
						if complete != (err == nil && resp.StatusCode == 200) {
							t.Fatalf("stream ends after %d of %d bytes: complete %t, error %v", n, len(whole), complete, err)
						}
						if resp != nil && resp.StatusCode == 200 {
							is.Equal(body, events)
						}
						is.Equal(len(h.instances.received()), 1) // not repeatable
					})
				}
			})
		}
	}
}

// A broken stream that can resume must go on at another instance after the last whole event, also when its end is that of a connection.
func TestUnframedStreamResumes(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%s\r\n%sid: 4\ndata: pi", sealHeader, streamText(3))
			return false
		}
		writeEvents(q, w, 4, 5, true)
		return true
	}, func(is *is.I, h *harness) {
		_, body, err := h.do(h.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(body, streamText(5))
	})
}

// A plain answer without length ends with its connection, which must not be used again; the caller gets it with a length.
func TestUnframedBody(t *testing.T) {
	const answer = "an answer"
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(protocol, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				fmt.Fprintf(w, "%s 200 OK\r\nChestnutcleat-Request-Id: %s\r\n%s\r\n%s", protocol, q.Header.Get("Chestnutcleat-Request-Id"), sealHeader, answer)
				return false
			}, func(is *is.I, h *harness) {
				for i := range 3 {
					resp, body, err := h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", fmt.Sprint("r", i))
					is.NoErr(err)
					is.Equal(resp.StatusCode, 200)
					is.Equal(resp.ContentLength, int64(len(answer)))
					is.Equal(body, answer)
				}
			})
		})
	}
}

// An answer without length whose connection neither sends nor ends must not be waited for beyond the deadline.
func TestUnframedBodyWithoutEnd(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%s\r\npart", sealHeader)
		return hangUntilClosed(r, w)
	}, func(is *is.I, h *harness) {
		start := time.Now()
		resp, _, err := h.do(h.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 504)
		is.Equal(time.Since(start).Round(10*time.Millisecond), bookTimeout)
		time.Sleep(10 * time.Millisecond) // in virtual time: all goroutines have seen the end
		is.True(h.instances.received()[0].disconnected.Load())
	})
}
