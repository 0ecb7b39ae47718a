package entry

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request at an instance whose entry vanishes, as it missed heartbeats or the platform was down, must go on there and not be
// started again or given up: the instance may only have been slow to report.
func TestRequestOutlivesEntryOfInstance(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if q.URL.Path == "/check/" || q.URL.Path == "/book/" {
			time.Sleep(time.Second)
			return respondOK(r, q, w)
		}
		return slowStream(q, w, 900*time.Millisecond, 3)
	}, func(is *is.I, h *harness) {
		paths := []string{"/check/", "/book/", "/plan/", "/kept/"}
		var callers sync.WaitGroup
		for _, path := range paths {
			callers.Go(func() {
				resp, _, err := h.do(h.t.Context(), path, "b", "Chestnutcleat-Request-Id", path)
				is.NoErr(err)
				is.Equal(resp.StatusCode, 200)
			})
		}
		time.Sleep(100 * time.Millisecond)
		h.handler.Instances.SetInstances(nil)
		callers.Wait()
		is.Equal(len(h.instances.received()), len(paths))
	})
}
