package ledger

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// programKey names a program of a customer.
type programKey struct {
	customer chestnutcleat.CustomerID
	program  chestnutcleat.ProgramID
}

// turnKey names a kept turn of a customer.
type turnKey struct {
	customer chestnutcleat.CustomerID
	turn     chestnutcleat.RequestID
}

type programState struct {
	attempts map[chestnutcleat.RequestID]Attempt
	until    int64
}

type turnState struct {
	Turn
	until int64
}

// state is what a copy's records add up to. Records may be applied in any order and more than once.
type state struct {
	programs map[programKey]*programState
	turns    map[turnKey]*turnState
	copies   chestnutcleat.Copies
	whole    bool
}

func newState() *state {
	return &state{programs: map[programKey]*programState{}, turns: map[turnKey]*turnState{}}
}

func (s *state) apply(r *Record) {
	switch r.Kind {
	case Reserve, Settle:
		s.applyAttempt(r)
	case Keep:
		s.applyTurn(r)
	case Adopt:
		if r.Copies != nil && r.Copies.Version > s.copies.Version {
			s.copies = *r.Copies
		}
	case Whole:
		s.whole = true
	}
}

func (s *state) applyAttempt(r *Record) {
	k := programKey{r.Customer, r.Program}
	p := s.programs[k]
	if p == nil {
		p = &programState{attempts: map[chestnutcleat.RequestID]Attempt{}}
		s.programs[k] = p
	}
	p.until = max(p.until, r.Until)
	known, ok := p.attempts[r.Attempt]
	if r.Kind == Reserve && ok && known.Settled {
		return
	}
	p.attempts[r.Attempt] = Attempt{ID: r.Attempt, Tokens: r.Tokens, Settled: r.Kind == Settle}
}

func (s *state) applyTurn(r *Record) {
	k := turnKey{r.Customer, r.Attempt}
	if s.turns[k] == nil {
		s.turns[k] = &turnState{Turn: Turn{ID: r.Attempt, Previous: r.Previous, Input: r.Input, Output: r.Output}}
	}
	// A turn is kept with its whole chain.
	for t := s.turns[k]; t != nil && t.until < r.Until; t = s.turns[turnKey{r.Customer, t.Previous}] {
		t.until = r.Until
		if t.Previous == "" {
			break
		}
	}
}

// attempts returns what is known of a program, without one attempt's own record.
func (s *state) attempts(r *Record) []Attempt {
	p := s.programs[programKey{r.Customer, r.Program}]
	if p == nil {
		return nil
	}
	list := make([]Attempt, 0, len(p.attempts))
	for id, a := range p.attempts {
		// A settled zero counts nothing and would only make the answer longer.
		if id != r.Attempt && (a.Tokens > 0 || a.Settled) {
			list = append(list, a)
		}
	}
	return list
}

// chain returns the turn and those before it, up to the first one that this copy lacks.
func (s *state) chain(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) []Turn {
	var list []Turn
	for id != "" && len(list) < maxChain {
		t := s.turns[turnKey{c, id}]
		if t == nil {
			break
		}
		list = append(list, t.Turn)
		id = t.Previous
	}
	return list
}

// maxChain bounds a chain, so that turns that name each other end.
const maxChain = 10_000

// expire forgets what is past its time.
func (s *state) expire(now time.Time) {
	for k, p := range s.programs {
		if now.Unix() > p.until {
			delete(s.programs, k)
		}
	}
	for k, t := range s.turns {
		if now.Unix() > t.until {
			delete(s.turns, k)
		}
	}
}

// records returns the records that make up the state, for another copy or a new segment.
func (s *state) records() []Record {
	var list []Record
	for k, p := range s.programs {
		for _, a := range p.attempts {
			kind := Reserve
			if a.Settled {
				kind = Settle
			}
			list = append(list, Record{Kind: kind, Customer: k.customer, Program: k.program, Attempt: a.ID, Tokens: a.Tokens, Until: p.until})
		}
	}
	for k, t := range s.turns {
		list = append(list, Record{
			Kind: Keep, Customer: k.customer, Attempt: t.ID, Previous: t.Previous, Input: t.Input, Output: t.Output, Until: t.until,
		})
	}
	return list
}

// holds reports whether a record of another copy would change nothing.
func (s *state) holds(r *Record) bool {
	switch r.Kind {
	case Reserve, Settle:
		p := s.programs[programKey{r.Customer, r.Program}]
		if p == nil || p.until < r.Until {
			return false
		}
		a, ok := p.attempts[r.Attempt]
		return ok && (a.Settled || r.Kind == Reserve)
	case Keep:
		t := s.turns[turnKey{r.Customer, r.Attempt}]
		return t != nil && t.until >= r.Until
	}
	return false
}
