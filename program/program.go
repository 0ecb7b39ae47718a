package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// program is one program of a customer.
type program struct {
	key      chestnutcleat.Key
	customer chestnutcleat.CustomerID
	id       chestnutcleat.ProgramID
	started  time.Time
	last     time.Time
	budget   chestnutcleat.Tokens
	count    int
	ended    bool
	endedAt  time.Time
	upstream chestnutcleat.UpstreamID
	cached   chestnutcleat.Tokens
	calls    map[chestnutcleat.CallID]*call
	order    []chestnutcleat.CallID
	repeats  map[chestnutcleat.Digest]int
	// recorded is set once the program has a record.
	recorded bool
	// gone is set when the program was dropped or forgotten.
	gone bool
}

// charge returns the tokens that are used or reserved.
func (p *program) charge() chestnutcleat.Tokens {
	var sum chestnutcleat.Tokens
	for _, c := range p.calls {
		sum += c.charge()
	}
	return sum
}

// reserved returns the tokens of running calls.
func (p *program) reserved() chestnutcleat.Tokens {
	var sum chestnutcleat.Tokens
	for _, c := range p.calls {
		sum += c.reserved
	}
	return sum
}

// busy reports whether a call has not ended.
func (p *program) busy() bool {
	for _, c := range p.calls {
		if c.state != ended && !c.silent {
			return true
		}
	}
	return false
}

// remove forgets a call that did not run.
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
		if o.tip.extended(c.History) || (o.sent.Length > 0 && o.sent.extended(c.History)) {
			return true
		}
	}
	return !known
}
