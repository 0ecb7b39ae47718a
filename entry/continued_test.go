package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

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

// Turns of different chains are different requests, also if their own inputs are equal: three that broke off for another reason blocked
// every turn with that input for a minute.
func TestEqualInputsOfDifferentChains(t *testing.T) {
	failing := false
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		if failing {
			return false
		}
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		send := func(id, previous string) int {
			pairs := []string{"Chestnutcleat-Request-Id", id}
			if previous != "" {
				pairs = append(pairs, "Chestnutcleat-Previous-Turn", previous)
			}
			resp, _, err := h.do(h.t.Context(), "/kept/", "go on", pairs...)
			is.NoErr(err)
			return resp.StatusCode
		}
		for _, id := range []string{"t0", "t1", "t2", "t3"} {
			is.Equal(send(id, ""), 200)
		}
		failing = true
		for i, previous := range []string{"t0", "t1", "t2"} {
			is.Equal(send(fmt.Sprint("u", i), previous), 502)
		}
		failing = false
		time.Sleep(5 * time.Second)
		is.Equal(send("v", "t3"), 200)
		failing = true
		for i := range 3 {
			is.Equal(send(fmt.Sprint("w", i), "t3"), 502)
		}
		is.Equal(send("x", "t3"), 503) // the same request crashed three instances
	})
}
