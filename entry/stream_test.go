package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream that breaks off midway goes on at another instance within one answer, without a gap or a repeat.
func TestStreamResumes(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			events(q, w, 1, 3, false)
			fmt.Fprint(w, "9\r\nid: 4\nda\r\n")
			return false
		}
		events(q, w, 4, 6, true)
		return true
	}, func(is *is.I, r *rig) {
		a, body, err := r.do(r.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
		is.Equal(body, whole(6))
		list := r.instances.all()
		is.Equal(len(list), 2)
		is.Equal(list[1].header.Get("Last-Event-Id"), "3")
		is.True(list[0].instance != list[1].instance)
	})
}

// A silent instance must be left before the next one begins, or two work on one stream.
func TestStalledStreamMoves(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			events(q, w, 1, 2, false)
			return hang(r, w)
		}
		events(q, w, 3, 4, true)
		return true
	}, func(is *is.I, r *rig) {
		_, body, err := r.do(r.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(body, whole(4))
		is.True(r.instances.all()[0].left.Load())
	})
}

// A stream that may not go on elsewhere must not look whole when it breaks off.
func TestBrokenStream(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, false); return false }, func(is *is.I, r *rig) {
		_, body, err := r.do(r.t.Context(), "/kept/", "b")
		is.True(err != nil)
		is.Equal(body, whole(2))
		is.Equal(len(r.instances.all()), 1)
	})
}

// A turn that can't be kept must not end as whole: the caller would go on from a turn that is not there.
func TestTurnNotKept(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, true); return true }, func(is *is.I, r *rig) {
		r.network.Detach("store")
		_, _, err := r.do(r.t.Context(), "/kept/", "b")
		is.True(err != nil)
	})
}

// An instance must get the inputs and outputs of the chain, byte for byte, also on a VM that never saw the turns; another
// customer must not.
func TestChain(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, true); return true }, func(is *is.I, r *rig) {
		const out = "piece 1\npiece 2\n"
		id, previous := "Chestnutcleat-Request-Id", "Chestnutcleat-Previous-Turn"
		_, _, err := r.do(r.t.Context(), "/kept/", "one;", id, "t1")
		is.NoErr(err)
		_, _, err = r.do(r.t.Context(), "/kept/", "two;", id, "t2", previous, "t1")
		is.NoErr(err)
		r.handler.Turns = &TurnCache{Size: 1 << 20}
		_, _, err = r.do(r.t.Context(), "/kept/", "three;", id, "t3", previous, "t2")
		is.NoErr(err)
		_, _, err = r.do(r.t.Context(), "/kept/", "other branch;", id, "t4", previous, "t1")
		is.NoErr(err)
		list := r.instances.all()
		is.Equal(list[1].body, "one;"+out+"two;")
		is.Equal(list[2].body, "one;"+out+"two;"+out+"three;")
		is.Equal(list[3].body, "one;"+out+"other branch;")
		a, _, err := r.do(r.t.Context(), "/kept/", "x", id, "t5", previous, "t2", "Authorization", "Bearer key of d")
		is.NoErr(err)
		is.Equal(a.StatusCode, 404)
		r.handler.Turns = &TurnCache{Size: 1 << 20}
		r.network.Detach("store")
		a, _, err = r.do(r.t.Context(), "/kept/", "x", id, "t6", previous, "t2")
		is.NoErr(err)
		is.Equal(a.StatusCode, 503) // not 404: nobody could look
	})
}

// A program must get its whole budget and no more: a turn counts with what it used once it has ended.
func TestBudget(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 3, true); return true }, func(is *is.I, r *rig) {
		turn := func(id string) int {
			a, _, err := r.do(r.t.Context(), "/plan/", "b", "Chestnutcleat-Request-Id", id, "Chestnutcleat-Program-Id", "p",
				"Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return a.StatusCode
		}
		is.Equal(turn("t1"), 200) // 30 used
		is.Equal(turn("t2"), 200) // 60 used
		is.Equal(turn("t3"), 402) // 50 more would be 110
		is.Equal(turn("t4"), 402)
		is.Equal(len(r.instances.all()), 2)
		r.network.Detach("store")
		is.Equal(turn("t5"), 503)
		is.Equal(len(r.instances.all()), 2)
	})
}

// The records of a turn's end must travel together: each append costs every copy a message and a write to its disk.
func TestTurnEndsInOneAppend(t *testing.T) {
	inBubble(t, func(_ *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 3, true); return true }, func(is *is.I, r *rig) {
		a, _, err := r.do(r.t.Context(), "/kept/", "b", "Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
		time.Sleep(time.Second)
		is.Equal(r.appends.n.Load(), int32(2)) // the reservation; the turn and its use
	})
}

// drips keeps sending a piece until the connection is closed.
func drips(r *ran, w io.Writer, piece string) bool {
	for {
		time.Sleep(200 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			r.left.Store(true)
			return false
		}
	}
}

// An instance that sends comments, or a byte of an event, now and then makes no progress: its stream must move like a silent
// one's. Each comment put the end off, so that such streams went on until their deadline.
func TestDrippingStreamMoves(t *testing.T) {
	for name, piece := range map[string]string{"comments": ": wait\n\n", "bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
				if r.n == 1 {
					events(q, w, 1, 2, false)
					return drips(r, w, piece)
				}
				events(q, w, 3, 4, true)
				return true
			}, func(is *is.I, r *rig) {
				begun := time.Now()
				a, body, err := r.do(r.t.Context(), "/plan/", "b")
				is.NoErr(err)
				is.Equal(a.StatusCode, 200)
				is.Equal(strings.ReplaceAll(body, ": wait\n\n", ""), whole(4))
				is.True(time.Since(begun) < 2*time.Second)
				time.Sleep(time.Second) // its next piece finds the connection closed
				is.True(r.instances.all()[0].left.Load())
			})
		})
	}
}

// A stream that is slow but sound must not be cut: one that may not move lasts as long as its time allows.
func TestSlowStreamLasts(t *testing.T) {
	inBubble(t, func(_ *ran, q *http.Request, w io.Writer) bool {
		events(q, w, 1, 1, false)
		for i := 2; i <= 4; i++ {
			time.Sleep(900 * time.Millisecond)
			events(q, w, i, i, i == 4)
		}
		return true
	}, func(is *is.I, r *rig) {
		_, body, err := r.do(r.t.Context(), "/kept/", "b")
		is.NoErr(err)
		is.Equal(body, whole(4))
		is.Equal(len(r.instances.all()), 1)
	})
}

// Comments are no output: counted as events they used up a program's budget and changed the input of its next turn.
func TestCommentsAreNoOutput(t *testing.T) {
	const comment = ": wait\n\n"
	inBubble(t, func(_ *ran, q *http.Request, w io.Writer) bool {
		events(q, w, 1, 1, false)
		for range 20 {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(comment), comment)
		}
		events(q, w, 2, 2, true)
		return true
	}, func(is *is.I, r *rig) {
		turn := func(id, previous string) int {
			a, _, err := r.do(r.t.Context(), "/kept/", id, "Chestnutcleat-Request-Id", id, "Chestnutcleat-Previous-Turn", previous,
				"Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return a.StatusCode
		}
		is.Equal(turn("t1", ""), 200)
		is.Equal(turn("t2", "t1"), 200) // 20 of 100 used
		is.Equal(r.instances.all()[1].body, "t1piece 1\npiece 2\nt2")
	})
}
