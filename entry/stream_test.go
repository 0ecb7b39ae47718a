package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/ledger"
)

// A stream that breaks off midway must continue at another instance within the same response, without lost or repeated events.
func TestStreamResumes(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			writeEvents(q, w, 1, 3, false)
			fmt.Fprint(w, "9\r\nid: 4\nda\r\n")
			return false
		}
		writeEvents(q, w, 4, 6, true)
		return true
	}, func(is *is.I, h *harness) {
		resp, body, err := h.do(h.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, streamText(6))
		list := h.instances.received()
		is.Equal(len(list), 2)
		is.Equal(list[1].header.Get("Last-Event-Id"), "3")
		is.True(list[0].instance != list[1].instance)
	})
}

// The connection to a silent instance must be closed before another one takes over, or both would work on the same stream.
func TestStalledStreamMoves(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			writeEvents(q, w, 1, 2, false)
			return hangUntilClosed(r, w)
		}
		writeEvents(q, w, 3, 4, true)
		return true
	}, func(is *is.I, h *harness) {
		_, body, err := h.do(h.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(body, streamText(4))
		is.True(h.instances.received()[0].disconnected.Load())
	})
}

// A stream that cannot resume at another instance must not look complete when it breaks off.
func TestBrokenStream(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, false)
		return false
	}, func(is *is.I, h *harness) {
		_, body, err := h.do(h.t.Context(), "/kept/", "b")
		is.True(err != nil)
		is.Equal(body, streamText(2))
		is.Equal(len(h.instances.received()), 1)
	})
}

// A turn that cannot be stored must not end as a complete stream: the caller would continue from a turn that does not exist.
func TestTurnNotStored(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		h.network.Detach("store")
		_, _, err := h.do(h.t.Context(), "/kept/", "b")
		is.True(err != nil)
	})
}

// An instance must get the inputs and outputs of the chain byte for byte, also through a VM that does not have the turns in its
// cache. Another customer must not be able to use the chain.
func TestChain(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		const out = "piece 1\npiece 2\n"
		id, previous := "Chestnutcleat-Request-Id", "Chestnutcleat-Previous-Turn"
		_, _, err := h.do(h.t.Context(), "/kept/", "one;", id, "t1")
		is.NoErr(err)
		_, _, err = h.do(h.t.Context(), "/kept/", "two;", id, "t2", previous, "t1")
		is.NoErr(err)
		_, _, err = h.do(h.t.Context(), "/kept/", "three;", id, "t3", previous, "t2")
		is.NoErr(err)
		_, _, err = h.do(h.t.Context(), "/kept/", "other branch;", id, "t4", previous, "t1")
		is.NoErr(err)
		list := h.instances.received()
		is.Equal(list[1].body, "one;"+out+"two;")
		is.Equal(list[2].body, "one;"+out+"two;"+out+"three;")
		is.Equal(list[3].body, "one;"+out+"other branch;")
		resp, _, err := h.do(h.t.Context(), "/kept/", "x", id, "t5", previous, "t2", "Authorization", "Bearer key of d")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 404)
		h.network.Detach("store")
		resp, _, err = h.do(h.t.Context(), "/kept/", "x", id, "t6", previous, "t2")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503) // not 404: no replica answered
	})
}

// A caller that sends the id of a kept turn again must not close a circle of turns or replace the kept turn.
func TestReusedTurnID(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		const out = "piece 1\npiece 2\n"
		send := func(body string, pairs ...string) int {
			resp, _, err := h.do(h.t.Context(), "/kept/", body, pairs...)
			is.NoErr(err)
			return resp.StatusCode
		}
		id, previous := "Chestnutcleat-Request-Id", "Chestnutcleat-Previous-Turn"
		is.Equal(send("one;", id, "t1"), 200)
		is.Equal(send("two;", id, "t2", previous, "t1"), 200)
		is.Equal(send("circle;", id, "t1", previous, "t2"), 400)
		is.Equal(send("own;", id, "t2", previous, "t2"), 400)
		is.Equal(send("other;", id, "t3"), 200)
		is.Equal(send("moved;", id, "t2", previous, "t3"), 200)
		is.Equal(send("four;", id, "t4", previous, "t2"), 200)
		list := h.instances.received()
		is.Equal(list[len(list)-1].body, "one;"+out+"two;"+out+"four;")
	})
}

// A program must get its whole budget and no more: once a turn has ended, it counts with the tokens that it used.
func TestBudget(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 3, true)
		return true
	}, func(is *is.I, h *harness) {
		turn := func(id string) int {
			resp, _, err := h.do(h.t.Context(), "/plan/", "b", "Chestnutcleat-Request-Id", id, "Chestnutcleat-Program-Id", "p",
				"Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return resp.StatusCode
		}
		is.Equal(turn("t1"), 200) // 30 used
		is.Equal(turn("t2"), 200) // 60 used
		is.Equal(turn("t3"), 402) // 50 more would be 110
		is.Equal(turn("t4"), 402)
		is.Equal(len(h.instances.received()), 2)
		h.network.Detach("store")
		is.Equal(turn("t5"), 503)
		is.Equal(len(h.instances.received()), 2)
	})
}

// The records of a turn's end must be sent in one append: each append costs every replica a message and a disk write.
func TestTurnEndsInOneAppend(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 3, true)
		return true
	}, func(is *is.I, h *harness) {
		resp, _, err := h.do(h.t.Context(), "/kept/", "b", "Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		time.Sleep(time.Second)
		is.Equal(h.appends.n.Load(), int32(2)) // the reservation; the turn with its settlement
	})
}

// trickle sends a piece every 200 ms until the connection is closed.
func trickle(r *receivedRequest, w io.Writer, piece string) bool {
	for {
		time.Sleep(200 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			r.disconnected.Store(true)
			return false
		}
	}
}

// An instance that only sends comments or single bytes makes no progress, so its stream must move as if it were silent. When each
// comment reset the stall timer, such streams lasted until their deadline.
func TestTricklingStreamMoves(t *testing.T) {
	for name, piece := range map[string]string{"comments": ": wait\n\n", "bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if r.n == 1 {
					writeEvents(q, w, 1, 2, false)
					return trickle(r, w, piece)
				}
				writeEvents(q, w, 3, 4, true)
				return true
			}, func(is *is.I, h *harness) {
				start := time.Now()
				resp, body, err := h.do(h.t.Context(), "/plan/", "b")
				is.NoErr(err)
				is.Equal(resp.StatusCode, 200)
				is.Equal(strings.ReplaceAll(body, ": wait\n\n", ""), streamText(4))
				is.True(time.Since(start) < 2*time.Second)
				time.Sleep(time.Second) // the next write of trickle fails on the closed connection
				is.True(h.instances.received()[0].disconnected.Load())
			})
		})
	}
}

// A slow but healthy stream that cannot resume elsewhere must not be cut before its deadline.
func TestSlowStreamLasts(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 1, false)
		for i := 2; i <= 4; i++ {
			time.Sleep(900 * time.Millisecond)
			writeEvents(q, w, i, i, i == 4)
		}
		return true
	}, func(is *is.I, h *harness) {
		_, body, err := h.do(h.t.Context(), "/kept/", "b")
		is.NoErr(err)
		is.Equal(body, streamText(4))
		is.Equal(len(h.instances.received()), 1)
	})
}

// Comments are not output. Counted as events, they used up the program's budget and changed the input of its next turn.
func TestCommentsAreNoOutput(t *testing.T) {
	const comment = ": wait\n\n"
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 1, false)
		for range 20 {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(comment), comment)
		}
		writeEvents(q, w, 2, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		turn := func(id, previous string) int {
			resp, _, err := h.do(h.t.Context(), "/kept/", id, "Chestnutcleat-Request-Id", id, "Chestnutcleat-Previous-Turn", previous,
				"Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return resp.StatusCode
		}
		is.Equal(turn("t1", ""), 200)
		is.Equal(turn("t2", "t1"), 200) // 20 of 100 used
		is.Equal(h.instances.received()[1].body, "t1piece 1\npiece 2\nt2")
	})
}

// A turn whose predecessor the replicas lack was kept once, so its caller must be told to come back and not that it is unknown.
func TestBrokenChainIsNotUnknown(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		_, err := h.handler.Ledger.Persist(h.t.Context(), ledger.Record{
			Kind: ledger.StoreTurn, Customer: "c", Attempt: "t2", Previous: "t1", ExpiresAt: time.Now().Add(time.Hour).Unix(),
		})
		is.NoErr(err)
		resp, _, err := h.do(h.t.Context(), "/kept/", "b", "Chestnutcleat-Previous-Turn", "t2")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(len(h.instances.received()), 0)
	})
}
