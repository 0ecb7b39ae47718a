package caller

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessBody is a body that repeats a text without end, and gives up far beyond all bounds.
type endlessBody struct {
	text string
	sent int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.sent > 16*maxDocumentBytes {
		return 0, errors.New("too much was read")
	}
	n := 0
	for n < len(p) {
		m := copy(p[n:], b.text[b.sent%len(b.text):])
		n, b.sent = n+m, b.sent+m
	}
	return n, nil
}

func (*endlessBody) Close() error { return nil }

// transportFunc answers requests without a network.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The load tool must read a bounded part of an answer without end: a stream that never ended kept all of its text, and one of comments was
// read for as long as the load ran.
func TestEndlessAnswers(t *testing.T) {
	const bufferSlack = 64 << 10 // bytes
	for name, tt := range map[string]struct {
		status int
		stream bool
		text   string
	}{
		"plain answer":    {200, false, "x"},
		"problem":         {503, false, " "},
		"one line":        {200, true, "data: "},
		"one event":       {200, true, "data: x\n"},
		"events of text":  {200, true, "data: {\"choices\": [{\"delta\": {\"content\": \"word \"}}]}\n\n"},
		"empty events":    {200, true, "data: {}\n\n"},
		"comments":        {200, true, ": x\n\n"},
		"empty lines":     {200, true, "\n"},
		"problem, stream": {500, true, "{"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &endlessBody{text: strings.Repeat(tt.text, 4096)}
			h := &http.Client{Transport: transportFunc(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: tt.status, Body: body, ContentLength: -1}, nil
			})}
			c := client{http: h, stats: newStats("c"), addresses: newAddresses(h, "key", nil)}
			_, err := c.send(t.Context(), "h", request{id: "1", path: "/", stream: tt.stream})
			is.True(err != nil)
			is.True(body.sent <= maxDocumentBytes+bufferSlack)
		})
	}
}

// The list of VMs must be read in part only if it has no end.
func TestEndlessListOfVMs(t *testing.T) {
	is := is.New(t)
	body := &endlessBody{text: strings.Repeat(" ", 4096)}
	h := &http.Client{Timeout: time.Minute, Transport: transportFunc(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: 200, Body: body, ContentLength: -1}, nil
	})}
	_, err := newAddresses(h, "key", nil).fetch(t.Context(), "h")
	is.True(err != nil)
	is.True(body.sent <= 2*maxDocumentBytes)
}
