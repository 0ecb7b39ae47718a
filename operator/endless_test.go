package operator_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/operator"
)

// giveUpBytes is what an endless body sends at most, so that a test of a reader without a bound ends.
const giveUpBytes = 64 << 20

// endlessBody is a body that starts with a text and repeats another one without end.
type endlessBody struct {
	start, repeated string
	sent            int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.sent > giveUpBytes {
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

func (*endlessBody) Close() error { return nil }

// transportFunc answers requests without a network.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// What answers at a VM's address may send without end: the client read on and on, until its machine had no memory left.
func TestEndlessAnswers(t *testing.T) {
	const maxAnswer, bufferSlack = 16 << 20, 64 << 10 // bytes
	for name, tt := range map[string]struct {
		status          int
		start, repeated string
	}{
		"manifest":       {200, `{"customers": [`, `{"id": "a"}, `},
		"no document":    {200, "", "x"},
		"white space":    {200, "", " "},
		"text":           {200, `"`, "x"},
		"problem":        {503, `{"detail": "`, "x"},
		"problem's text": {500, "", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &endlessBody{start: tt.start, repeated: strings.Repeat(tt.repeated, 4096)}
			c := operator.Client{Address: "h", HTTP: &http.Client{Transport: transportFunc(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: tt.status, Body: body, ContentLength: -1}, nil
			})}}
			_, err := c.Manifest(t.Context())
			is.True(err != nil)
			is.True(len(err.Error()) < 1000) // the error does not carry the body
			is.True(body.sent <= maxAnswer+bufferSlack)
		})
	}
}

// An answer that is long and has an end must be read.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	c := operator.Client{Address: "h", HTTP: &http.Client{Transport: transportFunc(func(*http.Request) (*http.Response, error) {
		text := fmt.Sprintf(`{"revision": 7}%s`, strings.Repeat(" ", 8<<20))
		return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(text)), ContentLength: -1}, nil
	})}}
	m, err := c.Manifest(t.Context())
	is.NoErr(err)
	is.Equal(int(m.Revision), 7)
}
