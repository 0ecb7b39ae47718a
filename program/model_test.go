package program_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chestnutcleat.example/chestnutcleat"
)

// model is the reference: what callers were told and what ran.
type model struct {
	*fleet
	// fault is the first broken promise.
	fault   string
	calls   map[chestnutcleat.CallID]chestnutcleat.Call
	runs    map[chestnutcleat.CallID]int
	attempt map[chestnutcleat.CallID]int
	sent    map[chestnutcleat.CallID]bool
	ended   map[chestnutcleat.CallID]bool
	told    map[chestnutcleat.CallID]string
	used    chestnutcleat.Tokens
	allowed map[chestnutcleat.CallID]chestnutcleat.Tokens
}

const modelBudget = 800

func newModel(t *testing.T) *model {
	m := &model{fleet: newFleet(t), calls: map[chestnutcleat.CallID]chestnutcleat.Call{}, runs: map[chestnutcleat.CallID]int{}}
	m.attempt, m.sent = map[chestnutcleat.CallID]int{}, map[chestnutcleat.CallID]bool{}
	m.ended, m.told = map[chestnutcleat.CallID]bool{}, map[chestnutcleat.CallID]string{}
	m.allowed = map[chestnutcleat.CallID]chestnutcleat.Tokens{}
	m.limits.Tokens = modelBudget
	return m
}

// broken records a broken promise; rapid must be told outside of the bubble.
func (m *model) broken(format string, args ...any) {
	if m.fault == "" {
		m.fault = fmt.Sprintf(format, args...)
	}
}

// call returns one of a few calls; some follow another, some branch, some may not be repeated.
func (m *model) call(i int) chestnutcleat.Call {
	id := chestnutcleat.CallID(fmt.Sprint(i))
	if c, ok := m.calls[id]; ok {
		c.Deadline = time.Now().Add(time.Hour)
		return c
	}
	c := newCall(id, "")
	c.Repeatable = i%2 == 0
	if i > 1 {
		c.After = chestnutcleat.CallID(fmt.Sprint(i / 2))
	}
	c.Deadline = time.Now().Add(time.Hour)
	m.calls[id] = c
	return c
}

// heard checks what a caller was told.
func (m *model) heard(c chestnutcleat.Call, r chestnutcleat.BeginReply) {
	switch {
	case r.Run:
		if c.After != "" && !m.ended[c.After] && !m.unknown(c.After) {
			m.broken("call %s runs before call %s has ended", c.ID, c.After)
		}
		if m.told[c.ID] != "" {
			m.broken("call %s runs again after its answer was given", c.ID)
		}
		m.attempt[c.ID] = r.Attempt
		m.sent[c.ID] = false
		m.allowed[c.ID] = r.Output
	case r.Answer != nil:
		text := string(r.Answer.Outcome) + string(r.Answer.Body)
		if m.told[c.ID] != "" && m.told[c.ID] != text {
			m.broken("call %s got %q after %q", c.ID, text, m.told[c.ID])
		}
		m.told[c.ID] = text
		m.ended[c.ID] = true
	}
}

// unknown reports whether a call that was sent and may not be repeated has ended without a report.
func (m *model) unknown(id chestnutcleat.CallID) bool {
	if m.calls[id].Repeatable || !m.sent[id] {
		return false
	}
	p, _ := m.book.Look("c", "p")
	for _, c := range p.Calls {
		if c.ID == id {
			return c.Outcome == chestnutcleat.Unknown
		}
	}
	return false
}

func (m *model) beginCall(c chestnutcleat.Call) {
	m.do(func() {
		m.book.Begin(chestnutcleat.BeginRequest{Call: c}, func(r chestnutcleat.BeginReply) { m.heard(c, r) })
	})
}

// sendCall starts the current attempt as its entry VM would, and runs it if that is allowed.
func (m *model) sendCall(c chestnutcleat.Call) {
	if m.attempt[c.ID] == 0 || m.sent[c.ID] {
		return
	}
	r := m.start(c, m.attempt[c.ID])
	if len(r.replies) != 1 || r.replies[0].Problem != nil {
		return
	}
	m.sent[c.ID] = true
	m.runs[c.ID]++
	m.used += c.Prompt + m.allowed[c.ID]
	if m.runs[c.ID] > 1 && !c.Repeatable {
		m.broken("call %s ran %d times", c.ID, m.runs[c.ID])
	}
	if m.used > modelBudget {
		m.broken("%d tokens were used of %d", m.used, modelBudget)
	}
}

// settleCall reports the end of an attempt, which used all that it was allowed.
func (m *model) settleCall(c chestnutcleat.Call) {
	if !m.sent[c.ID] {
		return
	}
	r := done(c, m.attempt[c.ID])
	r.Answer.Body = fmt.Appendf(nil, "%s-%d", c.ID, r.Attempt)
	r.Answer.Usage.Output = m.allowed[c.ID]
	// A call counts as ended for the order from the moment at which its end is reported.
	m.ended[c.ID] = true
	m.settle(r)
}

// step is one action of a caller, an entry VM or a fault.
type step struct {
	Action string
	Call   int
}

func (m *model) apply(s step) {
	c := m.call(s.Call)
	switch s.Action {
	case "begin":
		m.beginCall(c)
	case "send":
		m.sendCall(c)
	case "settle":
		m.settleCall(c)
	case "silence":
		m.pass(3 * time.Minute)
	case "lose":
		m.lose(chestnutcleat.Transfer{Lost: true})
	case "move":
		m.move()
	case "fail":
		m.do(func() { m.store.fail = true })
		m.beginCall(c)
		m.sendCall(c)
		m.do(func() { m.store.fail = false })
	}
}

// Random faults must not break the order, the budget, at-most-once execution or the replayed answers.
func TestModel(t *testing.T) {
	actions := []string{"begin", "begin", "begin", "begin", "send", "send", "send", "settle", "settle", "settle", "silence", "lose", "move", "fail"}
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{Action: rapid.SampledFrom(actions).Draw(rt, "action"), Call: rapid.IntRange(0, 5).Draw(rt, "call")}
	})
	sent := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(one, 40, 120).Draw(rt, "steps")
		fault := ""
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t)
			for _, s := range steps {
				if m.fault == "" {
					m.apply(s)
				}
			}
			m.do(func() { m.book.Drop(chestnutcleat.ProgramKey("c", "p").Slot()) })
			fault = m.fault
			for _, n := range m.runs {
				sent += n
			}
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d runs of calls", sent)
}
