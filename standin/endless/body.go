package endless

import (
	"errors"
	"net/http"
	"strings"
)

// repeats is how often the repeated text stands in one piece, so that copies are long.
const repeats = 4096

// Body is a body that starts with a text and repeats another one without end.
type Body struct {
	start, repeated string
	// giveUp is the number of bytes after which the body fails, so that a test of a reader without a bound ends.
	giveUp int
	sent   int
}

// NewBody returns a body that fails after giveUp bytes.
func NewBody(start, repeated string, giveUp int) *Body {
	return &Body{start: start, repeated: strings.Repeat(repeated, repeats), giveUp: giveUp}
}

// Sent returns the number of bytes that were read.
func (b *Body) Sent() int { return b.sent }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.sent > b.giveUp {
		return 0, errors.New("too much was read")
	}
	n := 0
	for n < len(p) {
		text := b.repeated[b.sent%len(b.repeated):]
		if b.sent < len(b.start) {
			text = b.start[b.sent:]
		}
		m := copy(p[n:], text)
		n, b.sent = n+m, b.sent+m
	}
	return n, nil
}

// Close implements io.Closer.
func (*Body) Close() error { return nil }

// Client returns a client whose requests are all answered with a status and the body, without a network.
func (b *Body) Client(status int) *http.Client { return &http.Client{Transport: answer{status, b}} }

// answer is a transport with one answer.
type answer struct {
	status int
	body   *Body
}

// RoundTrip implements http.RoundTripper.
func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Body: a.body, ContentLength: -1}, nil
}
