package peer

import (
	"maps"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/rate"
)

// questionTime is how long an answer to a question is waited for; tokens are worth nothing after it.
const questionTime = time.Second

// receiveGrant takes tokens once: a repeated or overtaken datagram gives nothing.
func (f *Fleet) receiveGrant(g *Grant) {
	if asked, ok := f.asked(g); ok && f.Granted != nil {
		f.Granted(g.Tokens, asked)
	}
}

// asked returns when this VM asked for a grant; it reports false for one that is not to be taken.
func (f *Fleet) asked(g *Grant) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.roster.peers[g.From]
	asked, open := f.questions[g.Number]
	delete(f.questions, g.Number)
	return asked, open && p != nil && g.To == f.incarnation && p.grants.accept(g.Incarnation, g.Sequence)
}

// Ask asks a VM for tokens; a lost datagram is made up for by the next question.
func (f *Fleet) Ask(to chestnutcleat.VMID, t rate.Tokens) {
	a, ok := f.Address(to)
	if !ok {
		return
	}
	f.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(f.questions, func(_ uint64, sent time.Time) bool { return now.Sub(sent) > questionTime })
	f.question++
	q := Question{From: f.Self.VM, Incarnation: f.incarnation, Number: f.question, Tokens: t}
	f.questions[q.Number] = now
	f.mu.Unlock()
	f.write(message{Question: &q}, a)
}

// answer gives tokens to the VM that asked for them; a lost datagram loses them.
func (f *Fleet) answer(q *Question) {
	a, ok := f.Address(q.From)
	if !ok || f.Asked == nil {
		return
	}
	t := f.Asked(q.Tokens)
	if len(t) == 0 {
		return
	}
	f.mu.Lock()
	f.grants++
	g := Grant{From: f.Self.VM, Incarnation: f.incarnation, Sequence: f.grants, To: q.Incarnation, Number: q.Number, Tokens: t}
	f.mu.Unlock()
	f.write(message{Grant: &g}, a)
}
