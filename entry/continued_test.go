package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/config"
)

// A turn that continues a stored one must not be answered 404 by a VM whose configuration lacks its route: 404 ends the caller's program,
// although the VM's configuration may only be behind.
func TestContinuedTurnOfUnknownRoute(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		id, previous := "Chestnutcleat-Request-Id", "Chestnutcleat-Previous-Turn"
		resp, _, err := h.do(h.t.Context(), "/kept/", "one", id, "t1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		h.table = config.NewTable(config.Config{Routes: routes()[:3], Customers: h.table.Customers})
		resp, _, err = h.do(h.t.Context(), "/kept/", "two", id, "t2", previous, "t1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		resp, _, err = h.do(h.t.Context(), "/kept/", "three", id, "t3")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 404)
		is.Equal(len(h.instances.received()), 1)
	})
}
