package program_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/program"
)

// parallel sends identical calls of one customer, each in its own program, and runs each granted attempt for a second.
// shouldCrash reports whether the n-th attempt crashes its upstream. parallel returns the number of crashes, the largest number
// of concurrent attempts and the outcomes.
func (f *fleet) parallel(calls int, shouldCrash func(n int) bool) (crashes, most int, outcomes map[chestnutcleat.Outcome]int) {
	type attempt struct {
		call  chestnutcleat.Call
		reply chestnutcleat.BeginReply
		until time.Time
		crash bool
	}
	outcomes = map[chestnutcleat.Outcome]int{}
	var running []attempt
	number := 0
	take := func(c chestnutcleat.Call, r chestnutcleat.BeginReply) {
		switch {
		case r.Problem != nil:
			outcomes[r.Problem.Outcome]++
		case r.Answer != nil:
			outcomes[r.Answer.Outcome]++
		case r.Run:
			number++
			running = append(running, attempt{c, r, time.Now().Add(time.Second), shouldCrash(number)})
			most = max(most, len(running))
		}
	}
	for i := range calls {
		c := newCall("same", "")
		c.Program = chestnutcleat.ProgramID(fmt.Sprint("p", i))
		c.Deadline = time.Now().Add(time.Hour)
		f.loop.Post(func() {
			f.manager.Begin(chestnutcleat.BeginRequest{Call: c}, func(r chestnutcleat.BeginReply) { take(c, r) })
		})
	}
	for range 3000 {
		f.advance(100 * time.Millisecond)
		f.do(func() {
			list := running
			running = nil
			for _, a := range list {
				if time.Now().Before(a.until) {
					running = append(running, a)
					continue
				}
				r := done(a.call, a.reply.Attempt)
				if a.crash {
					crashes++
					r.Answer, r.Crashed = chestnutcleat.Answer{}, true
				}
				f.manager.Settle(r, func(s chestnutcleat.SettleReply) {
					if !a.crash {
						outcomes[chestnutcleat.Done]++
					}
					take(a.call, s.Next)
				})
			}
		})
	}
	return crashes, most, outcomes
}

// Guards against identical parallel calls that crash more than two upstreams before the first crash is known, against the
// refusal of a harmless call that ran on a crashed upstream, and against identical harmless calls that are refused or
// wait longer than needed.
func TestParallelSuspects(t *testing.T) {
	cases := []struct {
		name        string
		calls       int
		shouldCrash func(n int) bool
		// crashes and most are exact; done is the number of calls that succeed, and the others end as failed.
		crashes, most, done int
	}{
		{name: "all crash", calls: 20, shouldCrash: func(int) bool { return true }, crashes: 2, most: 2},
		{name: "one call, all crash", calls: 1, shouldCrash: func(int) bool { return true }, crashes: 2, most: 1},
		{name: "innocent", calls: 20, shouldCrash: func(int) bool { return false }, most: 18, done: 20},
		{name: "innocent on a crashed upstream", calls: 1, shouldCrash: func(n int) bool { return n == 1 }, crashes: 1, most: 1, done: 1},
		{name: "innocents on a crashed upstream", calls: 20, shouldCrash: func(n int) bool { return n == 1 }, crashes: 1, most: 19, done: 20},
		{name: "two crashes at once", calls: 5, shouldCrash: func(n int) bool { return n <= 2 }, crashes: 2, most: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				crashes, most, outcomes := newFleet(t).parallel(c.calls, c.shouldCrash)
				t.Logf("%d crashes, at most %d attempts at a time, outcomes %v", crashes, most, outcomes)
				is.Equal(crashes, c.crashes)
				is.Equal(most, c.most)
				is.Equal(outcomes[chestnutcleat.Done], c.done)
				is.Equal(outcomes[chestnutcleat.Failed], c.calls-c.done)
			})
		})
	}
}

// Guards against a limit of running attempts that is reset by a handover, or by a lost owner after the first crash,
// against attempts that count as running for ever, and against cleared crashes that reappear.
func TestSuspectsMove(t *testing.T) {
	ask := chestnutcleat.CrashCheckRequest{Customer: "c", Route: "r", Body: chestnutcleat.DigestOf([]byte("x"))}
	with := func(attempt string, change func(*chestnutcleat.CrashCheckRequest)) chestnutcleat.CrashCheckRequest {
		r := ask
		r.Attempt = chestnutcleat.RequestID(attempt)
		if change != nil {
			change(&r)
		}
		return r
	}
	crash := func(r *chestnutcleat.CrashCheckRequest) { r.Crashed = true }
	ended := func(r *chestnutcleat.CrashCheckRequest) { r.Ended = true }
	complete := func(r *chestnutcleat.CrashCheckRequest) { r.Ended, r.Done = true, true }
	cases := []struct {
		name  string
		steps []chestnutcleat.CrashCheckRequest
		// move is how the table gets a new owner: "handover", "lost" or empty for none.
		move string
		wait time.Duration
		want chestnutcleat.CrashCheckReply
	}{
		{name: "two run", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil)}, want: chestnutcleat.CrashCheckReply{Busy: true}},
		{name: "two run, handover", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil)}, move: "handover", want: chestnutcleat.CrashCheckReply{Busy: true}},
		{name: "one ended", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil), with("2", ended)}},
		{name: "same again", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("last", nil)}},
		{name: "one crashed, one runs, lost", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil), with("1", crash)}, move: "lost", want: chestnutcleat.CrashCheckReply{Crashes: 1, Busy: true}},
		{name: "two crashed, lost", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil), with("1", crash), with("2", crash)}, move: "lost", want: chestnutcleat.CrashCheckReply{Crashes: 2}},
		{name: "two crashed, then a late answer", steps: []chestnutcleat.CrashCheckRequest{with("1", crash), with("2", crash), with("3", complete)}, want: chestnutcleat.CrashCheckReply{Crashes: 2}},
		{name: "cleared, lost", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("1", crash), with("2", nil), with("2", complete)}, move: "lost"},
		{name: "never reported", steps: []chestnutcleat.CrashCheckRequest{with("1", nil), with("2", nil)}, wait: 3 * time.Minute},
		{name: "mark expired", steps: []chestnutcleat.CrashCheckRequest{with("1", crash), with("2", crash)}, wait: 61 * time.Minute},
		{name: "clean", steps: []chestnutcleat.CrashCheckRequest{with("1", complete), with("2", nil), with("3", nil), with("4", nil)}},
		{name: "clean no longer", steps: []chestnutcleat.CrashCheckRequest{with("1", complete), with("2", nil), with("3", nil), with("2", crash)}, want: chestnutcleat.CrashCheckReply{Crashes: 1, Busy: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				for _, r := range c.steps {
					f.do(func() { f.suspects.Handle(r, func(chestnutcleat.CrashCheckReply, error) {}) })
				}
				slot := ask.Key().Slot()
				if c.move != "" {
					f.do(func() {
						records := f.store.records
						if c.move == "handover" {
							records = f.suspects.Export(slot)
						}
						next := &program.Suspects{Loop: f.loop, Journal: f.store}
						next.Import(slot, records, chestnutcleat.Transfer{Lost: c.move == "lost"})
						f.suspects = next
					})
				}
				f.advance(c.wait)
				f.do(f.suspects.Sweep)
				var got chestnutcleat.CrashCheckReply
				f.do(func() {
					f.suspects.Handle(with("last", nil), func(r chestnutcleat.CrashCheckReply, _ error) { got = r })
				})
				is.Equal(got, c.want)
			})
		})
	}
}
