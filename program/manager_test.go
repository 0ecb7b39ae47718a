package program_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// Guards against wrong replies when a fault, a duplicate or a handover occurs between the steps of a call.
func TestFaults(t *testing.T) {
	lost := chestnutcleat.Transfer{Lost: true}
	cases := []struct {
		name string
		run  func(f *fleet) string
		want string
	}{
		{"duplicate joins the running call", func(f *fleet) string {
			f.begin(newCall("a", ""))
			d := f.begin(newCall("a", ""))
			f.settle(done(newCall("a", ""), 1))
			return describe(d)
		}, "answer done"},
		{"duplicate replays the answer", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.settle(done(newCall("a", ""), 1))
			return describe(f.begin(newCall("a", "")))
		}, "answer done"},
		{"same id with another body", func(f *fleet) string {
			f.begin(newCall("a", ""))
			c := newCall("a", "")
			c.BodyDigest = chestnutcleat.DigestOf([]byte("other"))
			return describe(f.begin(c))
		}, "call-id-reused not-run"},
		{"reordered call waits for its predecessor", func(f *fleet) string {
			b := f.begin(newCall("b", "a"))
			f.begin(newCall("a", ""))
			f.advance(20 * time.Second)
			early := describe(b)
			f.settle(done(newCall("a", ""), 1))
			return early + ", " + describe(b)
		}, "0 replies, run 1"},
		{"predecessor never comes", func(f *fleet) string {
			b := f.begin(newCall("b", "a"))
			f.advance(time.Minute)
			return describe(b)
		}, "order-unknown not-run"},
		{"predecessor does not end before the deadline", func(f *fleet) string {
			f.begin(newCall("a", ""))
			b := f.begin(newCall("b", "a"))
			f.advance(time.Minute)
			return describe(b)
		}, "deadline-exceeded not-run"},
		{"deadline of a joined duplicate", func(f *fleet) string {
			f.begin(newCall("a", ""))
			d := f.begin(newCall("a", ""))
			f.advance(time.Minute)
			return describe(d)
		}, "deadline-exceeded unknown"},
		{"ended program", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.settle(done(newCall("a", ""), 1))
			f.do(func() {
				f.manager.End(chestnutcleat.EndRequest{Customer: "c", Program: "p"}, func(chestnutcleat.Ack) {})
			})
			return describe(f.begin(newCall("b", "a"))) + ", " + describe(f.begin(newCall("a", "")))
		}, "program-ended not-run, answer done"},
		{"program of another customer", func(f *fleet) string {
			f.begin(newCall("a", ""))
			c := newCall("b", "a")
			c.Customer = "d"
			b := f.begin(c)
			f.advance(20 * time.Second)
			return describe(b)
		}, "order-unknown not-run"},
		{"repeatable call of a silent VM runs again", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.start(newCall("a", ""), 1)
			f.advance(3 * time.Minute)
			return describe(f.begin(newCall("a", "")))
		}, "run 2"},
		{"late settle of an old attempt is dropped", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.advance(3 * time.Minute)
			f.begin(newCall("a", ""))
			f.settle(done(newCall("a", ""), 1))
			return fmt.Sprintf("%d %s", f.manager.Stats().Late, describe(f.begin(newCall("a", ""))))
		}, "1 0 replies"},
		{"started non-repeatable call of a silent VM is unknown", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.advance(3 * time.Minute)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "answer unknown"},
		{"non-repeatable call that did not start may run", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.advance(3 * time.Minute)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "run 2"},
		{"owner lost before the start", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.loseOwner(lost)
			f.advance(3 * time.Minute)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "run 2"},
		{"owner lost after the intent", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.loseOwner(lost)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "answer unknown"},
		{"owner lost before the intent was acknowledged", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.store.loseAcks = true
			s := f.start(nonRepeatableCall("a"), 1)
			f.store.loseAcks = false
			early := len(s.replies)
			f.loseOwner(lost)
			return fmt.Sprintf("%d %s %s", early, s.replies[0].Problem.Outcome, describe(f.begin(nonRepeatableCall("a"))))
		}, "0 not-run answer unknown"},
		{"owner lost after the outcome", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.settle(done(nonRepeatableCall("a"), 1))
			f.loseOwner(lost)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "answer done"},
		{"settle reaches the new owner before anybody was told", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.loseOwner(lost)
			f.settle(done(nonRepeatableCall("a"), 1))
			return describe(f.begin(nonRepeatableCall("a")))
		}, "answer done"},
		{"records may be missing", func(f *fleet) string {
			f.loseOwner(chestnutcleat.Transfer{Lost: true, Incomplete: true})
			return describe(f.begin(nonRepeatableCall("a"))) + ", " + describe(f.begin(newCall("b", "")))
		}, "owner-unavailable unknown, run 1"},
		{"handover of a started non-repeatable call", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.handOver()
			d := f.begin(nonRepeatableCall("a"))
			f.settle(done(nonRepeatableCall("a"), 1))
			return describe(d)
		}, "answer done"},
		{"handover keeps the answer", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.settle(done(newCall("a", ""), 1))
			f.handOver()
			return string(f.begin(newCall("a", "")).replies[0].Answer.Body)
		}, "answer of a"},
		{"outcome that no majority holds is told to nobody", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			f.store.loseAcks = true
			s := f.settle(done(nonRepeatableCall("a"), 1))
			d := f.begin(nonRepeatableCall("a"))
			return fmt.Sprintf("%d %s", len(s.replies), describe(d))
		}, "0 0 replies"},
		{"end of a repeatable call that no majority holds is told to nobody", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.start(newCall("a", ""), 1)
			f.store.loseAcks = true
			s := f.settle(done(newCall("a", ""), 1))
			d := f.begin(newCall("a", ""))
			return fmt.Sprintf("%d %s", len(s.replies), describe(d))
		}, "0 0 replies"},
		{"end that could not be stored is stored later", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.start(newCall("a", ""), 1)
			f.store.fail = true
			s := f.settle(done(newCall("a", ""), 1))
			f.store.fail = false
			early := len(s.replies)
			f.advance(time.Second)
			f.loseOwner(lost)
			return fmt.Sprintf("%d %d %s", early, len(s.replies), describe(f.begin(newCall("a", ""))))
		}, "0 1 answer done"},
		{"owner lost before the end was stored", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.start(newCall("a", ""), 1)
			f.store.fail = true
			f.settle(done(newCall("a", ""), 1))
			f.store.fail = false
			f.loseOwner(lost)
			// The entry VM asks again, as the one that it asked is no longer the owner.
			f.settle(done(newCall("a", ""), 1))
			return describe(f.begin(newCall("b", "a")))
		}, "run 1"},
		{"handover while a second attempt waits for its reservation", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.start(newCall("a", ""), 1)
			f.advance(3 * time.Minute)
			f.store.loseAcks = true
			f.begin(newCall("a", ""))
			f.store.loseAcks = false
			f.handOver()
			s, _ := f.manager.Summary("c", "p")
			return fmt.Sprint(s.Used, " ", describe(f.begin(newCall("a", ""))))
		}, "110 run 3"},
		{"waiting call of a program that ends", func(f *fleet) string {
			f.begin(newCall("a", ""))
			b := f.begin(newCall("b", "a"))
			f.do(func() {
				f.manager.End(chestnutcleat.EndRequest{Customer: "c", Program: "p"}, func(chestnutcleat.Ack) {})
			})
			return describe(b)
		}, "program-ended not-run"},
		{"a call that waited for its start has its whole run time", func(f *fleet) string {
			f.begin(newCall("a", ""))
			f.advance(100 * time.Second)
			f.start(newCall("a", ""), 1)
			f.advance(100 * time.Second)
			return describe(f.begin(newCall("a", "")))
		}, "0 replies"},
		{"intent that cannot be stored", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.store.fail = true
			s := f.start(nonRepeatableCall("a"), 1)
			f.store.fail = false
			again := f.start(nonRepeatableCall("a"), 1)
			return fmt.Sprintf("%s %t", s.replies[0].Problem.Code, again.replies[0].Problem == nil)
		}, "owner-unavailable true"},
		{"reservation that cannot be stored", func(f *fleet) string {
			f.store.fail = true
			return describe(f.begin(newCall("a", "")))
		}, "owner-unavailable not-run"},
		{"refusal by an upstream is not replayed", func(f *fleet) string {
			f.begin(nonRepeatableCall("a"))
			f.start(nonRepeatableCall("a"), 1)
			r := done(nonRepeatableCall("a"), 1)
			r.Answer = chestnutcleat.Answer{Status: 503, Outcome: chestnutcleat.NotRun}
			f.settle(r)
			return describe(f.begin(nonRepeatableCall("a")))
		}, "run 1"},
		{"repeated begin of the same request", func(f *fleet) string {
			p := &pending[chestnutcleat.BeginReply]{}
			for range 2 {
				f.do(func() { f.manager.Begin(chestnutcleat.BeginRequest{ID: "x", Call: newCall("a", "")}, p.add) })
			}
			return fmt.Sprint(len(p.replies), p.replies[0].Run, p.replies[1].Run, p.replies[1].Attempt)
		}, "2 true true 1"},
		{"parallel branches share the budget", func(f *fleet) string {
			f.limits.Tokens = 300
			f.begin(newCall("a", ""))
			b, c := newCall("b", ""), newCall("d", "")
			b.Parent, c.Parent = "a", "a"
			f.begin(b)
			third := f.begin(c)
			fourth := newCall("e", "")
			return fmt.Sprint(third.replies[0].Output, " ", describe(f.begin(fourth)))
		}, "70 budget-exhausted not-run"},
		{"calls limit", func(f *fleet) string {
			f.limits.Calls = 1
			f.begin(newCall("a", ""))
			return describe(f.begin(newCall("b", "")))
		}, "loop-limit not-run"},
		{"wall-clock limit", func(f *fleet) string {
			f.limits.WallClock = chestnutcleat.Duration(time.Second)
			f.begin(newCall("a", ""))
			f.advance(time.Second)
			return describe(f.begin(newCall("b", "")))
		}, "budget-exhausted not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.Equal(c.run(newFleet(t)), c.want)
			})
		})
	}
}

// Guards against a call that crashes a third upstream after a resend under another id or program.
func TestCrashesAcrossPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		a := newCall("a", "")
		is.Equal(describe(f.begin(a)), "run 1")
		f.start(a, 1)
		crash := chestnutcleat.SettleRequest{Customer: "c", Program: "p", Call: "a", Attempt: 1, Upstream: "u", Crashed: true}
		next := f.settle(crash).replies[0].Next
		is.True(next.Run && next.Isolated)
		is.Equal(next.Attempt, 2)
		is.Equal(next.Avoid, []chestnutcleat.UpstreamID{"u"})
		again := f.settle(crash).replies[0].Next
		is.Equal(again.Attempt, 2) // a repeated report makes no third attempt

		b := newCall("b", "")
		b.BodyDigest, b.Program = a.BodyDigest, "q"
		waiting := f.begin(b)
		is.Equal(describe(waiting), "0 replies") // only one run while one crash is known
		f.start(a, 2)
		crash.Attempt = 2
		is.Equal(f.settle(crash).replies[0].Next.Answer.Outcome, chestnutcleat.Failed)
		f.advance(time.Second)
		is.Equal(describe(waiting), "answer failed")
		is.Equal(waiting.replies[0].Answer.Problem.Code, chestnutcleat.CodeCrash)
	})
}

// Guards against a call whose messages belong to another branch, which would mix two histories.
func TestHistory(t *testing.T) {
	h := func(words ...string) []chestnutcleat.Digest {
		var list []chestnutcleat.Digest
		text := ""
		for _, w := range words {
			text += "/" + w
			list = append(list, chestnutcleat.DigestOf([]byte(text)))
		}
		return list
	}
	cases := []struct {
		name    string
		after   chestnutcleat.CallID
		parent  chestnutcleat.CallID
		history []chestnutcleat.Digest
		want    string
	}{
		{"extends", "a", "", h("s", "x", "answer", "y"), "run 1"},
		{"leaves the answer out", "a", "", h("s", "x", "y"), "history-mismatch not-run"},
		{"another start", "a", "", h("t", "x", "answer", "y"), "history-mismatch not-run"},
		{"shorter", "a", "", h("s"), "history-mismatch not-run"},
		{"without names, extends", "", "", h("s", "x", "answer", "y"), "run 1"},
		{"without names, another history", "", "", h("t"), "history-mismatch not-run"},
		{"sub-agent with its own history", "", "a", h("t"), "run 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				a := newCall("a", "")
				a.History = h("s", "x")
				f.begin(a)
				s := done(a, 1)
				s.History = h("s", "x", "answer")
				f.settle(s)
				b := newCall("b", c.after)
				b.Parent, b.History = c.parent, c.history
				is.Equal(describe(f.begin(b)), c.want)
			})
		})
	}
}

// Guards against programs, answers and records that are never deleted.
func TestProgramsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.manager.MaxRetained = 20
		f.do(f.manager.Run)
		for _, id := range []chestnutcleat.CallID{"a", "b"} {
			f.begin(newCall(id, ""))
			f.settle(done(newCall(id, ""), 1))
		}
		is.True(f.begin(newCall("a", "")).replies[0].Answer.BodyDropped)
		is.Equal(f.manager.Stats().Retained, int64(len("answer of b")))
		f.advance(16 * time.Minute)
		is.Equal(f.manager.Stats().Programs, 0)
		is.Equal(f.manager.Stats().Retained, int64(0))
		f.loseOwner(chestnutcleat.Transfer{Lost: true})
		is.Equal(f.manager.Stats().Programs, 0)
	})
}
