package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// framing tells how an answer says where its body ends.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	unframed
	framingCount
)

// cutAnswer is an answer of an instance of which only some bytes arrive.
type cutAnswer struct {
	framing  framing
	streamed bool
	// text is in the body, and chunk the size of its chunks.
	text  string
	chunk int
}

// body returns the whole body: the text, or a stream of three events with it.
func (a cutAnswer) body() string {
	if !a.streamed {
		return a.text
	}
	text := strings.NewReplacer("\n", "", "\r", "").Replace(a.text)
	body := ""
	for n := 1; n <= 3; n++ {
		body += fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
	}
	return body
}

// encode returns the whole answer as it is sent.
func (a cutAnswer) encode() string {
	head, body := "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n"+sealHeader, a.body()
	if a.streamed {
		head += "Content-Type: text/event-stream\r\n"
	}
	switch a.framing {
	case framedByLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			n := min(max(1, a.chunk), len(body))
			head += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return head + "0\r\n\r\n"
	}
	return head + "\r\n" + body
}

// parsePlainly returns what arrived of the body of an answer, and whether that is the whole body. It shares nothing with the code under
// test. ok is false if the head is not whole.
func parsePlainly(received string) (body string, whole, ok bool) {
	head, rest, ok := strings.Cut(received, "\r\n\r\n")
	if !ok {
		return "", false, false
	}
	if _, text, found := strings.Cut(head, "Content-Length: "); found {
		n, err := strconv.Atoi(strings.SplitN(text, "\r\n", 2)[0])
		return rest, err == nil && len(rest) == n, true
	}
	if !strings.Contains(head, "Transfer-Encoding: chunked") {
		return rest, true, true
	}
	for {
		size, data, found := strings.Cut(rest, "\r\n")
		n, err := strconv.ParseInt(size, 16, 64)
		switch {
		case !found || err != nil:
			return body, false, true
		case n == 0:
			return body, data == "\r\n", true
		case int64(len(data)) < n+2:
			return body + data[:min(int64(len(data)), n)], false, true
		}
		body, rest = body+data[:n], data[n+2:]
	}
}

// check lets an instance send the first bytes of the answer and checks what the caller gets of it.
func (a cutAnswer) check(t *testing.T, arrived int) {
	received := a.encode()[:arrived]
	body, complete, ok := parsePlainly(received)
	path := "/book/"
	if a.streamed {
		path = "/kept/"
		events := body[:strings.LastIndex("\n\n"+body, "\n\n")]
		complete = complete && len(events) == len(body)
		body = events
	}
	runInBubble(t, func(_ *receivedRequest, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, received)
		return false
	}, func(is *is.I, h *harness) {
		resp, got, err := h.do(h.t.Context(), path, "b")
		is.Equal(len(h.instances.received()), 1) // neither route may repeat a request
		passedOn := err == nil && resp.StatusCode == http.StatusOK
		if passedOn != (ok && complete) {
			t.Errorf("%d bytes arrived of %q: passed on as complete %t, error %v", arrived, a.encode(), passedOn, err)
		}
		if resp != nil && resp.StatusCode == http.StatusOK {
			is.Equal(got, body)
		} else if resp != nil {
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		}
	})
}

// An answer whose connection ends at any byte must reach the caller as complete only if it is, and else as broken off, with every
// event that arrived whole.
func FuzzCutAnswer(f *testing.F) {
	for framed := range framingCount {
		for _, streamed := range []bool{false, true} {
			a := cutAnswer{framing: framed, streamed: streamed, text: "text\n\nof it", chunk: 9}
			whole := len(a.encode())
			for arrived := 0; arrived <= whole; arrived += 7 {
				f.Add(uint8(framed), streamed, a.text, uint8(a.chunk), uint16(arrived))
			}
			for missing := range 20 {
				f.Add(uint8(framed), streamed, a.text, uint8(a.chunk), uint16(whole-missing))
			}
		}
	}
	f.Fuzz(func(t *testing.T, framed uint8, streamed bool, text string, chunk uint8, arrived uint16) {
		a := cutAnswer{framing: framing(framed) % framingCount, streamed: streamed, text: text, chunk: int(chunk)}
		a.check(t, int(arrived)%(len(a.encode())+1))
	})
}
