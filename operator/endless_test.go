package operator_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/operator"
	"chestnutcleat.example/chestnutcleat/standin/endless"
)

// giveUpBytes is what an endless body sends at most, so that a test of a reader without a bound ends.
const giveUpBytes = 64 << 20

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
			body := endless.NewBody(tt.start, tt.repeated, giveUpBytes)
			c := operator.Client{Address: "h", HTTP: body.Client(tt.status)}
			_, err := c.Manifest(t.Context())
			is.True(err != nil)
			is.True(len(err.Error()) < 1000) // the error does not carry the body
			is.True(body.Sent() <= maxAnswer+bufferSlack)
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
