package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request whose caller has left before it is sent must reach no instance: it ran there with nobody to answer.
func TestRequestOfGoneCallerIsNotSent(t *testing.T) {
	for _, path := range []string{"/book/", "/plan/"} {
		t.Run(path, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				ctx, cancel := context.WithCancel(h.t.Context())
				cancel()
				q := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader("b"))
				q.Header.Set("Authorization", "Bearer key")
				q.Header.Set("Chestnutcleat-Request-Id", "r1")
				defer func() {
					is.Equal(recover(), http.ErrAbortHandler) // the connection closes
					time.Sleep(time.Second)
					is.Equal(len(h.instances.received()), 0)
				}()
				h.handler.ServeHTTP(httptest.NewRecorder(), q)
			})
		})
	}
}
