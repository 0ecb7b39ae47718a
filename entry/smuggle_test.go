package entry

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against request smuggling: a request hidden in another one, because two servers disagree where the first one ends, must
// never reach an instance.
func TestSmuggledRequests(t *testing.T) {
	const hidden = "POST /book/hidden HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nChestnutcleat-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	head := func(line string, fields ...string) string {
		return line + "\r\nHost: h\r\nAuthorization: Bearer key\r\nChestnutcleat-Request-Id: r1\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
	}
	const post = "POST /book/x HTTP/1.1"
	for _, tt := range []struct {
		name, sent string
		// runs is the number of visible requests that may reach instances; hidden is set if the hidden one may, because the
		// message frames it as a request of its own.
		runs   int
		hidden bool
	}{
		{"length and chunks", head(post, "Content-Length: 4", "Transfer-Encoding: chunked") + "0\r\n\r\n" + hidden, 1, false},
		{"chunks and length", head(post, "Transfer-Encoding: chunked", "Content-Length: 4") + "0\r\n\r\n" + hidden, 1, false},
		{"two lengths", head(post, "Content-Length: 0", "Content-Length: 300") + hidden, 0, false},
		{"two lengths in one field", head(post, "Content-Length: 0, 300") + hidden, 0, false},
		{"length with a sign", head(post, "Content-Length: +0") + hidden, 0, false},
		{"length that is no number", head(post, "Content-Length: 0x1") + hidden, 0, false},
		{"unknown coding", head(post, "Transfer-Encoding: xchunked") + hidden, 0, false},
		{"two codings", head(post, "Transfer-Encoding: chunked", "Transfer-Encoding: identity") + "0\r\n\r\n" + hidden, 0, false},
		{"space before the colon", head(post, "Transfer-Encoding : chunked") + hidden, 0, false},
		{"folded field", head(post, "X: y", " Content-Length: 300") + hidden, 1, true},
		{"bare carriage return in a field", head(post, "X: y\rContent-Length: 300") + hidden, 0, false},
		{"chunk size with a sign", head(post, "Transfer-Encoding: chunked") + "+0\r\n\r\n" + hidden, 0, false},
		{"chunk size out of range", head(post, "Transfer-Encoding: chunked") + "10000000000000000\r\n" + hidden, 0, false},
		{"chunk longer than its size", head(post, "Transfer-Encoding: chunked") + "1\r\nab\r\n0\r\n\r\n" + hidden, 0, false},
		{"fields in a trailer", head(post, "Transfer-Encoding: chunked", "Trailer: Content-Length") + "0\r\nContent-Length: 300\r\n\r\n", 0, false},
		{"line feed in the path", head("POST /book/x\n" + hidden), 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				c, err := h.client.Transport.(*http.Transport).DialContext(t.Context(), "tcp", "h")
				is.NoErr(err)
				defer c.Close()
				go write(c, tt.sent)
				is.NoErr(c.SetReadDeadline(time.Now().Add(3 * time.Second)))
				answers := bufio.NewReader(c)
				for {
					// Ends when the connection is closed, or at the read deadline if the server waits for another request.
					resp, err := http.ReadResponse(answers, nil)
					if err != nil {
						break
					}
					is.NoErr(resp.Body.Close())
				}
				hiddenRuns := 0
				for _, got := range h.instances.received() {
					if got.header.Get("Chestnutcleat-Request-Id") == "hidden" {
						hiddenRuns++
					}
				}
				is.True(len(h.instances.received())-hiddenRuns <= tt.runs)
				is.True(hiddenRuns == 0 || tt.hidden)
			})
		})
	}
}

// write ignores errors, as the server may close the connection before it has read everything.
func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }
