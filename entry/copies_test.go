package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// copyingInstance answers over TCP and sends a copy of an earlier response at one moment of the second exchange on a connection.
type copyingInstance struct {
	// copied is the response that is sent once more.
	copied string
	// inRequest is the number of bytes of the second request that are read before the copy is sent, or -1.
	inRequest int
	// inAnswer is the number of bytes of the second answer that are sent before the copy, or -1.
	inAnswer int
}

// answerTo returns the complete answer to a request.
func answerTo(id, path string) string {
	head := "HTTP/1.1 200 OK\r\nX-First: 1\r\nChestnutcleat-Request-Id: " + id + "\r\n" + sealHeader
	body := eventOf(id)
	if strings.HasPrefix(path, "/kept/") {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// eventOf returns the body of the answer to a request.
func eventOf(id string) string { return "id: 1\ndata: " + id + "\n\n" }

func (c copyingInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		q, err := c.readRequest(conn, reader, n)
		if err != nil {
			return
		}
		answer := answerTo(q.Header.Get("Chestnutcleat-Request-Id"), q.URL.Path)
		whole := len(answer)
		if n == 2 && c.inAnswer >= 0 {
			answer = answer[:c.inAnswer] + c.copied + answer[c.inAnswer:]
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if n == 2 && c.inAnswer > 0 && c.inAnswer < whole {
			// The connection ends, so that no broken answer is waited for until its deadline.
			return
		}
	}
}

// readRequest reads request n of a connection.
func (c copyingInstance) readRequest(conn net.Conn, reader *bufio.Reader, n int) (*http.Request, error) {
	start := make([]byte, max(c.inRequest, 0))
	if n == 2 && c.inRequest >= 0 {
		if _, err := io.ReadFull(reader, start); err != nil {
			return nil, err
		}
		if _, err := io.WriteString(conn, c.copied); err != nil {
			return nil, err
		}
		reader = bufio.NewReader(io.MultiReader(bytes.NewReader(start), reader))
	}
	q, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err
}

// useTCP lets the harness connect to the instance, the only one of each service, over TCP.
func (h *harness) useTCP(c copyingInstance) (stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	h.handler.Pool.Dial = func(ctx context.Context, _ chestnutcleat.Address) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
	}
	h.handler.Instances.SetInstances([]chestnutcleat.Instance{
		{ID: "tool-0", Service: "tool", Address: "tool", Slots: 6}, {ID: "model-0", Service: "model", Address: "model", Slots: 6},
	})
	return func() { l.Close() }
}

// Guards against a second copy of an answer being taken for the answer to the next request on the connection, or being joined to it,
// whenever it arrives: during the next request, at each byte of the head of its answer and of the framing behind it. A caller gets its own
// answer, or one that promises nothing.
func TestCopyAtEachByte(t *testing.T) {
	for name, tt := range map[string]struct {
		copied string
		// between is set for a copy that comes only where a response is expected: without an id, or without a whole head, nothing shows
		// that it was written into the head of another response.
		between bool
	}{
		"answer":            {answerTo("r0", "/book/"), false},
		"stream":            {answerTo("r0", "/kept/"), false},
		"refusal":           {refusalHead(503, notExecuted+earlierID), false},
		"other instance":    {refusalHead(421, earlierID), false},
		"refusal, no id":    {refusalHead(503, notExecuted), false},
		"half of a refusal": {"HTTP/1.1 503 X\r\n" + notExecuted, false},
		"joined refusal":    {"HTTP/1.1 503 X\r\n" + notExecuted + "X:", false},
		"421, no id":        {refusalHead(421, ""), true},
		"answer, no id":     {strings.Replace(answerTo("r0", "/book/"), earlierID, "", 1), true},
		"informational":     {"HTTP/1.1 100 Continue\r\n\r\n" + refusalHead(503, notExecuted+earlierID), true},
	} {
		for _, path := range []string{"/book/", "/kept/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, nil)
				h.endTimeouts() // each exchange ends by its bytes
				defer h.close()
				own := answerTo("r1", path)
				body := strings.Index(own, "\r\n\r\n") + len("\r\n\r\n")
				for i := range body {
					if i == 0 || !tt.between {
						h.checkCopy(copyingInstance{tt.copied, -1, i}, path)
					}
				}
				for i := strings.LastIndex(own, "\n\n") + len("\n\n"); i <= len(own); i++ {
					h.checkCopy(copyingInstance{tt.copied, -1, i}, path)
				}
				for i := 0; i < requestBytes; i += requestStep {
					h.checkCopy(copyingInstance{tt.copied, i, -1}, path)
				}
			})
		}
	}
}

const (
	// requestBytes is less than the size of each request of the test.
	requestBytes = 200
	// requestStep is the distance between two copies during a request, in bytes. Nothing is read of the connection meanwhile.
	requestStep = 13
)

// checkCopy sends three requests. The second one on a connection meets the copy: the second of all, or the third if the copy came so
// early that the second was sent on a new connection.
func (h *harness) checkCopy(c copyingInstance, path string) {
	h.t.Helper()
	is := is.New(h.t)
	defer h.useTCP(c)()
	// The requests are equal but for their ids, and broken answers count as crashes.
	h.handler.Crashes = &CrashTracker{}
	broken := 0
	for _, id := range []string{"r0", "r1", "r2"} {
		resp, got, err := h.do(h.t.Context(), path, "b", "Chestnutcleat-Request-Id", id)
		own := err == nil && resp.StatusCode == 200 && got == eventOf(id)
		promisesNothing := err != nil || resp.StatusCode == 502 || resp.StatusCode == 504
		if !own {
			broken++
		}
		if !own && !(id != "r0" && promisesNothing && broken == 1) {
			h.t.Logf("copy after %d bytes of the request, %d of the answer: %s got %v %q, %v", c.inRequest, c.inAnswer, id, resp, got, err)
		}
		is.True(own || id != "r0" && promisesNothing && broken == 1)
	}
	h.handler.Pool.CloseIdle("tool")
	h.handler.Pool.CloseIdle("model")
}
