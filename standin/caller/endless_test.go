package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/standin/endless"
)

// giveUpBytes is what an endless body sends at most, so that a test of a reader without a bound ends.
const giveUpBytes = 16 * maxDocumentBytes

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
			body := endless.NewBody("", tt.text, giveUpBytes)
			h := body.Client(tt.status)
			c := client{http: h, stats: newStats("c"), addresses: newAddresses(h, "key", nil)}
			_, err := c.send(t.Context(), "h", request{id: "1", path: "/", stream: tt.stream})
			is.True(err != nil)
			is.True(body.Sent() <= maxDocumentBytes+bufferSlack)
		})
	}
}

// The list of VMs must be read in part only if it has no end.
func TestEndlessListOfVMs(t *testing.T) {
	is := is.New(t)
	body := endless.NewBody("", " ", giveUpBytes)
	h := body.Client(200)
	h.Timeout = time.Minute
	_, err := newAddresses(h, "key", nil).fetch(t.Context(), "h")
	is.True(err != nil)
	is.True(body.Sent() <= 2*maxDocumentBytes)
}
