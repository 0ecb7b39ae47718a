package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that outlasts the shutdown of the VM must get an error that says what is known: its connection was closed without an answer.
// One that has part of its answer must not look complete.
func TestInterruptedRequestsAreAnswered(t *testing.T) {
	tests := []struct {
		name, path string
		started    bool
		outcome    string
	}{
		{"not repeatable", "/book/", false, "unknown"},
		{"repeatable", "/open/", false, "unknown"},
		{"stream before its first event", "/plan/", false, "unknown"},
		{"stream", "/plan/", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if tt.started {
					writeEvents(q, w, 1, 1, false)
				}
				return hangUntilClosed(r, w)
			}, func(is *is.I, h *harness) {
				time.AfterFunc(100*time.Millisecond, func() { is.Equal(h.handler.Interrupt(10), 1) })
				start := time.Now()
				resp, body, err := h.do(h.t.Context(), tt.path, "b")
				is.Equal(time.Since(start), 100*time.Millisecond)
				is.Equal(err != nil, tt.started)
				if !tt.started {
					is.Equal(resp.StatusCode, http.StatusBadGateway)
					is.True(strings.Contains(body, tt.outcome))
				}
				is.Equal(len(h.instances.received()), 1) // is sent to no other instance
			})
		})
	}
}
