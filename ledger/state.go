package ledger

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// turnBytes, attemptBytes and programBytes are about what the index of a record takes in memory beside its ids.
	turnBytes    = 320
	attemptBytes = 160
	programBytes = 360
	// maxChain bounds a chain, so that turns that name each other end.
	maxChain = 10_000
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

// attemptState is an attempt and the place of its newest record.
type attemptState struct {
	tokens  chestnutcleat.Tokens
	settled bool
	at      place
}

type programState struct {
	attempts map[chestnutcleat.RequestID]attemptState
	until    int64
}

// turnState is what memory holds of a turn; its input and output lie on the disk.
type turnState struct {
	previous chestnutcleat.RequestID
	until    int64
	at       place
}

// state is what a copy's records add up to. Records may be applied in any order and more than once.
type state struct {
	programs map[programKey]*programState
	turns    map[turnKey]*turnState
	copies   chestnutcleat.Copies
	whole    bool
	// live is the number of bytes in each segment that are still needed.
	live map[int]int64
	// memory is about what the index takes, in bytes.
	memory int64
	// customers shares the names of customers between keys.
	customers map[chestnutcleat.CustomerID]chestnutcleat.CustomerID
}

func newState() *state {
	return &state{
		programs: map[programKey]*programState{}, turns: map[turnKey]*turnState{}, live: map[int]int64{},
		customers: map[chestnutcleat.CustomerID]chestnutcleat.CustomerID{},
	}
}

// apply adds a record that lies at a place.
func (s *state) apply(r *Record, at place) {
	switch r.Kind {
	case Reserve, Settle:
		s.applyAttempt(r, at)
	case Keep:
		s.applyTurn(r, at)
	case Adopt:
		if r.Copies != nil && r.Copies.Version > s.copies.Version {
			s.copies = *r.Copies
		}
	case Whole:
		s.whole = true
	}
}

func (s *state) applyAttempt(r *Record, at place) {
	k := programKey{s.customer(r.Customer), r.Program}
	p := s.programs[k]
	if p == nil {
		p = &programState{attempts: map[chestnutcleat.RequestID]attemptState{}}
		s.programs[k] = p
		s.memory += programMemory(k)
	}
	p.until = max(p.until, r.Until)
	known, ok := p.attempts[r.Attempt]
	if r.Kind == Reserve && ok && known.settled {
		return
	}
	if ok {
		s.drop(known.at)
	} else {
		s.memory += attemptMemory(r.Attempt)
	}
	p.attempts[r.Attempt] = attemptState{tokens: r.Tokens, settled: r.Kind == Settle, at: at}
	s.hold(at)
}

func (s *state) applyTurn(r *Record, at place) {
	k := turnKey{s.customer(r.Customer), r.Attempt}
	t := s.turns[k]
	if t == nil {
		t = &turnState{previous: r.Previous}
		s.turns[k] = t
		s.memory += turnMemory(k, t)
	} else {
		s.drop(t.at)
	}
	t.at = at
	s.hold(at)
	// A turn is kept with its whole chain.
	for t != nil && t.until < r.Until {
		t.until = r.Until
		t = s.turns[turnKey{r.Customer, t.previous}]
	}
}

// customer returns the one string for a customer's name.
func (s *state) customer(c chestnutcleat.CustomerID) chestnutcleat.CustomerID {
	if known, ok := s.customers[c]; ok {
		return known
	}
	s.customers[c] = c
	return c
}

func (s *state) hold(at place) { s.live[at.segment] += int64(at.bytes) }

func (s *state) drop(at place) { s.live[at.segment] -= int64(at.bytes) }

func turnMemory(k turnKey, t *turnState) int64 {
	return int64(turnBytes + len(k.turn) + len(t.previous))
}

func attemptMemory(id chestnutcleat.RequestID) int64 { return int64(attemptBytes + len(id)) }

func programMemory(k programKey) int64 { return int64(programBytes + len(k.program)) }

// attempts returns what is known of a program, without one attempt's own record.
func (s *state) attempts(r *Record) []Attempt {
	p := s.programs[programKey{r.Customer, r.Program}]
	if p == nil {
		return nil
	}
	list := make([]Attempt, 0, len(p.attempts))
	for id, a := range p.attempts {
		// An open reservation of nothing counts nothing.
		if id != r.Attempt && (a.tokens > 0 || a.settled) {
			list = append(list, Attempt{ID: id, Tokens: a.tokens, Settled: a.settled})
		}
	}
	return list
}

// chain returns the places of the turn and of those before it, newest first, up to the first one that this copy lacks.
func (s *state) chain(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) []place {
	var list []place
	for id != "" && len(list) < maxChain {
		t := s.turns[turnKey{c, id}]
		if t == nil {
			break
		}
		list = append(list, t.at)
		id = t.previous
	}
	return list
}

// expire forgets what is past its time.
func (s *state) expire(now time.Time) {
	for k, p := range s.programs {
		if now.Unix() <= p.until {
			continue
		}
		for id, a := range p.attempts {
			s.drop(a.at)
			s.memory -= attemptMemory(id)
		}
		s.memory -= programMemory(k)
		delete(s.programs, k)
	}
	for k, t := range s.turns {
		if now.Unix() > t.until {
			s.drop(t.at)
			s.memory -= turnMemory(k, t)
			delete(s.turns, k)
		}
	}
}

// records returns the records that make up the state, for another copy; those of turns come without input and output.
func (s *state) records() []Record {
	list := make([]Record, 0, len(s.turns))
	for k, p := range s.programs {
		for id, a := range p.attempts {
			list = append(list, a.record(k, id, p.until))
		}
	}
	for k, t := range s.turns {
		list = append(list, Record{Kind: Keep, Customer: k.customer, Attempt: k.turn, Previous: t.previous, Until: t.until})
	}
	return list
}

func (a attemptState) record(k programKey, id chestnutcleat.RequestID, until int64) Record {
	kind := Reserve
	if a.settled {
		kind = Settle
	}
	return Record{Kind: kind, Customer: k.customer, Program: k.program, Attempt: id, Tokens: a.tokens, Until: until}
}

// current returns the record as it is now if it is the one at a place that the state still needs.
func (s *state) current(r *Record, at place) (Record, bool) {
	switch r.Kind {
	case Reserve, Settle:
		k := programKey{r.Customer, r.Program}
		p := s.programs[k]
		if p == nil {
			return Record{}, false
		}
		a := p.attempts[r.Attempt]
		return a.record(k, r.Attempt, p.until), a.at == at
	case Keep:
		t := s.turns[turnKey{r.Customer, r.Attempt}]
		if t == nil || t.at != at {
			return Record{}, false
		}
		v := *r
		v.Until = t.until
		return v, true
	}
	return Record{}, false
}

// standing returns the records that tell which set the copy serves.
func (s *state) standing() []*Record {
	var list []*Record
	if s.copies.Version > 0 {
		copies := s.copies
		list = append(list, &Record{Kind: Adopt, Copies: &copies})
	}
	if s.whole {
		list = append(list, &Record{Kind: Whole})
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
		return ok && (a.settled || r.Kind == Reserve)
	case Keep:
		t := s.turns[turnKey{r.Customer, r.Attempt}]
		return t != nil && t.until >= r.Until
	}
	return false
}
