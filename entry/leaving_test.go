package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/place"
)

const leavingHeader = "Server-Leaving: 1\r\n"

// An instance that says in an answer that it leaves must get no further request from this VM, whatever kind of answer it was, while the
// registration still says that it is ready.
func TestLeavingInstanceGetsNoMore(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		header string
		status int
		// left is set if the instance counts as leaving afterwards.
		left bool
	}{
		{"success", "/book/", sealHeader + leavingHeader, 200, true},
		{"the instance's own error", "/book/", sealHeader + leavingHeader, 500, true},
		{"refusal", "/book/", "Chestnutcleat-Not-Executed: 1\r\n" + leavingHeader, 503, true},
		{"head of a stream", "/plan/", sealHeader + leavingHeader, 200, true},
		{"another instance at the address", "/book/", "Chestnutcleat-Not-Executed: 1\r\n" + leavingHeader, 421, false},
		{"other value", "/book/", sealHeader + "Server-Leaving: 0\r\n", 200, false},
		{"without the header", "/book/", sealHeader, 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if r.n > 1 {
					respond(q, w, 200, sealHeader, "ok")
					return true
				}
				respond(q, w, tt.status, tt.header, streamText(2))
				return true
			}, func(is *is.I, h *harness) {
				for i := range 60 {
					_, _, err := h.do(h.t.Context(), tt.path, "b", "Chestnutcleat-Request-Id", fmt.Sprint("r", i))
					is.NoErr(err)
					time.Sleep(100 * time.Millisecond) // longer in total than an instance is avoided for other reasons
				}
				list := h.instances.received()
				again := 0
				for _, r := range list[1:] {
					if r.instance == list[0].instance {
						again++
					}
				}
				is.Equal(again == 0, tt.left)
			})
		})
	}
}

// The late copy of an answer to another request must not make an instance leave.
func TestLateCopySaysNothingOfLeaving(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: other\r\n%s%sContent-Length: 2\r\n\r\nok", sealHeader, leavingHeader)
			return false
		}
		respond(q, w, 200, sealHeader, "ok")
		return true
	}, func(is *is.I, h *harness) {
		_, _, err := h.do(h.t.Context(), "/check/", "b")
		is.NoErr(err)
		is.Equal(len(h.handler.Instances.ObservedDepartures()), 0)
	})
}

// The last instance of a service is left, too; requests are then refused as not run.
func TestLastInstanceLeaves(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		respond(q, w, 200, sealHeader+leavingHeader, "ok")
		return true
	}, func(is *is.I, h *harness) {
		events := &recordingObserver{}
		h.handler.Observer = events
		for i := range 3 {
			resp, _, err := h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", fmt.Sprint("r", i))
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
		}
		resp, _, err := h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", "r4")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(len(h.instances.received()), 3)
		is.Equal(events.with(event.Refused, "departing"), []any{true})
	})
}

// A turn that waits for its records when its instance says that it leaves must go to another one, and be refused as not run if there is
// none: it was sent to an instance that was about to end.
func TestTurnMovesBeforeItIsSent(t *testing.T) {
	for name, tt := range map[string]struct {
		leave  int
		status int
	}{
		"its instance leaves": {1, 200},
		"all leave":           {3, 503},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
				writeEvents(q, w, 1, 3, true)
				return true
			}, func(is *is.I, h *harness) {
				turn := func(id string) int {
					resp, _, err := h.do(h.t.Context(), "/plan/", "b", "Chestnutcleat-Request-Id", id, "Chestnutcleat-Program-Id", "p",
						"Chestnutcleat-Token-Budget", "1000", "Chestnutcleat-Token-Count", "9,50")
					is.NoErr(err)
					return resp.StatusCode
				}
				is.Equal(turn("t1"), 200)
				time.Sleep(100 * time.Millisecond)
				const write = 300 * time.Millisecond
				h.appends.delay.Store(int64(write))
				time.AfterFunc(write/2, func() {
					q := place.Request{Service: "model", Key: "c/p"}
					for range tt.leave {
						h.handler.Instances.Pick(q).MarkLeaving(time.Now())
					}
				})
				is.Equal(turn("t2"), tt.status)
				list := h.instances.received()
				if tt.status == 200 {
					is.Equal(len(list), 2)
					is.True(list[1].instance != list[0].instance)
				} else {
					is.Equal(len(list), 1)
				}
			})
		})
	}
}
