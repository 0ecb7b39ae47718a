package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// program is the state of one program of a customer.
type program struct {
	key        chestnutcleat.Key
	customer   chestnutcleat.CustomerID
	id         chestnutcleat.ProgramID
	started    time.Time
	lastActive time.Time
	budget     chestnutcleat.Tokens
	count      int
	ended      bool
	endedAt    time.Time
	upstream   chestnutcleat.UpstreamID
	cached     chestnutcleat.Tokens
	calls      map[chestnutcleat.CallID]*call
	order      []chestnutcleat.CallID
	repeats    map[chestnutcleat.Digest]int
	// recorded is set once the program has a record in the journal.
	recorded bool
	// dropped is set once the program was handed over or deleted; pending callbacks then do nothing.
	dropped bool
}

// charge returns the tokens used, reserved or charged for lost attempts.
func (p *program) charge() chestnutcleat.Tokens {
	var sum chestnutcleat.Tokens
	for _, c := range p.calls {
		sum += c.charge()
	}
	return sum
}

// reserved returns the tokens reserved by calls in progress.
func (p *program) reserved() chestnutcleat.Tokens {
	var sum chestnutcleat.Tokens
	for _, c := range p.calls {
		sum += c.reserved
	}
	return sum
}

// hasUnfinishedCalls reports whether a call has neither ended nor been abandoned.
func (p *program) hasUnfinishedCalls() bool {
	for _, c := range p.calls {
		if c.state != ended && !c.abandoned {
			return true
		}
	}
	return false
}

// remove removes a call that did not run.
func (p *program) remove(c *call) {
	if p.calls[c.ID] != c {
		return
	}
	delete(p.calls, c.ID)
	for i, id := range p.order {
		if id == c.ID {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			return
		}
	}
}

// extends reports whether a call's history belongs to one of the program's branches.
func (p *program) extends(c *call) bool {
	known := false
	for _, o := range p.calls {
		if o == c || o.tip.Length == 0 {
			continue
		}
		known = true
		if o.tip.extendedBy(c.History) || (o.sentTip.Length > 0 && o.sentTip.extendedBy(c.History)) {
			return true
		}
	}
	return !known
}
