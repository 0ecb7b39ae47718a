package program_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chestnutcleat.example/chestnutcleat"
)

// model is the reference model: it tracks the replies to callers and the executions of calls.
type model struct {
	*fleet
	// fault describes the first violated invariant.
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

// violation records a violated invariant; it is reported to rapid outside of the synctest bubble.
func (m *model) violation(format string, args ...any) {
	if m.fault == "" {
		m.fault = fmt.Sprintf(format, args...)
	}
}

// call returns one of a few calls, some of which follow another or may not be repeated.
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

// checkReply checks the invariants for a reply to a caller.
func (m *model) checkReply(c chestnutcleat.Call, r chestnutcleat.BeginReply) {
	switch {
	case r.Run:
		if c.After != "" && !m.ended[c.After] && !m.unknown(c.After) {
			m.violation("call %s runs before call %s has ended", c.ID, c.After)
		}
		if m.told[c.ID] != "" {
			m.violation("call %s runs again after its answer was given", c.ID)
		}
		m.attempt[c.ID] = r.Attempt
		m.sent[c.ID] = false
		m.allowed[c.ID] = r.Output
	case r.Answer != nil:
		text := string(r.Answer.Outcome) + string(r.Answer.Body)
		if m.told[c.ID] != "" && m.told[c.ID] != text {
			m.violation("call %s got %q after %q", c.ID, text, m.told[c.ID])
		}
		m.told[c.ID] = text
		m.ended[c.ID] = true
	}
}

// unknown reports whether a non-repeatable call was sent and has the outcome unknown.
func (m *model) unknown(id chestnutcleat.CallID) bool {
	if m.calls[id].Repeatable || !m.sent[id] {
		return false
	}
	p, _ := m.manager.Summary("c", "p")
	for _, c := range p.Calls {
		if c.ID == id {
			return c.Outcome == chestnutcleat.Unknown
		}
	}
	return false
}

func (m *model) beginCall(c chestnutcleat.Call) {
	m.do(func() {
		m.manager.Begin(chestnutcleat.BeginRequest{Call: c}, func(r chestnutcleat.BeginReply) { m.checkReply(c, r) })
	})
}

// sendCall starts the current attempt as its entry VM would, and counts an execution if the start is granted.
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
		m.violation("call %s ran %d times", c.ID, m.runs[c.ID])
	}
	if m.used > modelBudget {
		m.violation("%d tokens were used of %d", m.used, modelBudget)
	}
}

// settleCall reports the end of an attempt that used all its allowed tokens.
func (m *model) settleCall(c chestnutcleat.Call) {
	if !m.sent[c.ID] {
		return
	}
	r := done(c, m.attempt[c.ID])
	r.Answer.Body = fmt.Appendf(nil, "%s-%d", c.ID, r.Attempt)
	r.Answer.Usage.Output = m.allowed[c.ID]
	// For the call order, a call has ended as soon as its end is reported.
	m.ended[c.ID] = true
	m.settle(r)
}

// step is one action of a caller or an entry VM, or one fault.
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
		m.advance(3 * time.Minute)
	case "lose":
		m.loseOwner(chestnutcleat.Transfer{Lost: true})
	case "move":
		m.handOver()
	case "fail":
		m.do(func() { m.store.fail = true })
		m.beginCall(c)
		m.sendCall(c)
		m.do(func() { m.store.fail = false })
	}
}

// Guards against violations of call order, budget, at-most-once execution and replayed answers under random faults.
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
			m.do(func() { m.manager.Drop(chestnutcleat.ProgramKey("c", "p").Slot()) })
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
