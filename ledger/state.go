package ledger

import (
	"maps"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// turnOverheadBytes, attemptOverheadBytes and programOverheadBytes estimate the memory of an index entry, excluding its ids.
	turnOverheadBytes    = 320
	attemptOverheadBytes = 160
	programOverheadBytes = 360
	// maxChainTurns bounds the walk along a chain, so that turns that refer to each other don't cause an endless loop.
	maxChainTurns = 10_000
)

// programKey identifies a program of a customer.
type programKey struct {
	customer chestnutcleat.CustomerID
	program  chestnutcleat.ProgramID
}

// turnKey identifies a stored turn of a customer.
type turnKey struct {
	customer chestnutcleat.CustomerID
	turn     chestnutcleat.RequestID
}

// attemptState is an attempt and the location of its latest record.
type attemptState struct {
	tokens  chestnutcleat.Tokens
	settled bool
	loc     location
}

type programState struct {
	attempts  map[chestnutcleat.RequestID]attemptState
	expiresAt int64
}

// turnState is the index entry of a turn; its input and output are only on disk.
type turnState struct {
	previous  chestnutcleat.RequestID
	expiresAt int64
	loc       location
}

// state is the index built from a replica's records. Records may be applied in any order and more than once.
type state struct {
	programs map[programKey]*programState
	turns    map[turnKey]*turnState
	// gaps are turns that are missing although a later one of their chain is held.
	gaps map[turnKey]gap
	// streams has the attempts that began a stream which may go on elsewhere.
	streams map[turnKey]*streamState
	// routes has the time until which an origin of a route's streams is needed, in Unix seconds.
	routes   map[routeOrigin]int64
	replicas chestnutcleat.ReplicaSet
	// complete is set once the replica has all records of earlier versions of the set.
	complete bool
	// live is the number of bytes of records in each segment that are still needed.
	live map[int]int64
	// memory is the estimated size of the index in bytes.
	memory int64
	// streamBytes is the part of memory that streams take.
	streamBytes int64
	// internedCustomers holds one string for each customer name, shared by the keys.
	internedCustomers map[chestnutcleat.CustomerID]chestnutcleat.CustomerID
}

func newState() *state {
	return &state{
		programs: map[programKey]*programState{}, turns: map[turnKey]*turnState{}, gaps: map[turnKey]gap{},
		streams: map[turnKey]*streamState{}, routes: map[routeOrigin]int64{}, live: map[int]int64{},
		internedCustomers: map[chestnutcleat.CustomerID]chestnutcleat.CustomerID{},
	}
}

// apply adds a record stored at the given location.
func (s *state) apply(r *Record, loc location) {
	switch r.Kind {
	case Reserve, Settle:
		s.applyAttempt(r, loc)
	case StoreTurn:
		s.applyTurn(r, loc)
	case Begin:
		s.applyBegin(r, loc)
	case Adopt:
		if r.ReplicaSet != nil && r.ReplicaSet.Version > s.replicas.Version {
			s.replicas = *r.ReplicaSet
		}
	case Complete:
		s.complete = true
	}
}

func (s *state) applyAttempt(r *Record, loc location) {
	k := programKey{s.intern(r.Customer), r.Program}
	p := s.programs[k]
	if p == nil {
		p = &programState{attempts: map[chestnutcleat.RequestID]attemptState{}}
		s.programs[k] = p
		s.memory += programMemory(k)
	}
	p.expiresAt = max(p.expiresAt, r.ExpiresAt)
	known, ok := p.attempts[r.Attempt]
	if r.Kind == Reserve && ok && known.settled {
		return
	}
	if ok {
		s.removeLive(known.loc)
	} else {
		s.memory += attemptMemory(r.Attempt)
	}
	p.attempts[r.Attempt] = attemptState{tokens: r.Tokens, settled: r.Kind == Settle, loc: loc}
	s.addLive(loc)
}

func (s *state) applyTurn(r *Record, loc location) {
	k := turnKey{s.intern(r.Customer), r.Attempt}
	t := s.turns[k]
	until := r.ExpiresAt
	switch {
	case t == nil:
		t = &turnState{previous: r.Previous}
		s.turns[k] = t
		// A later turn of the chain that came first has extended the lifetime of this one.
		until = max(until, s.gaps[k].expiresAt)
		delete(s.gaps, k)
		s.memory += turnMemory(k, t)
	case t.previous != r.Previous:
		// The first turn with an id stands, as later turns may continue it.
		return
	default:
		s.removeLive(t.loc)
	}
	t.loc = loc
	s.addLive(loc)
	// A later turn extends the lifetime of its whole chain.
	for t.expiresAt < until {
		t.expiresAt = until
		if t.previous == "" {
			return
		}
		before := turnKey{k.customer, t.previous}
		if t = s.turns[before]; t == nil {
			s.noteGap(before, until)
			return
		}
	}
}

// intern returns the shared string for a customer's name.
func (s *state) intern(c chestnutcleat.CustomerID) chestnutcleat.CustomerID {
	if known, ok := s.internedCustomers[c]; ok {
		return known
	}
	s.internedCustomers[c] = c
	return c
}

func (s *state) addLive(loc location) { s.live[loc.segment] += int64(loc.bytes) }

func (s *state) removeLive(loc location) { s.live[loc.segment] -= int64(loc.bytes) }

func turnMemory(k turnKey, t *turnState) int64 {
	return int64(turnOverheadBytes + len(k.turn) + len(t.previous))
}

func attemptMemory(id chestnutcleat.RequestID) int64 { return int64(attemptOverheadBytes + len(id)) }

func programMemory(k programKey) int64 { return int64(programOverheadBytes + len(k.program)) }

// attempts returns the known attempts of a record's program, except the record's own attempt.
func (s *state) attempts(r *Record) []Attempt {
	p := s.programs[programKey{r.Customer, r.Program}]
	if p == nil {
		return nil
	}
	list := make([]Attempt, 0, len(p.attempts))
	for id, a := range p.attempts {
		// Unsettled reservations of zero tokens don't count.
		if id != r.Attempt && (a.tokens > 0 || a.settled) {
			list = append(list, Attempt{ID: id, Tokens: a.tokens, Settled: a.settled})
		}
	}
	return list
}

// chainLocations returns the locations of the turn and its predecessors, newest first, up to the first one that this replica lacks.
func (s *state) chainLocations(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) []location {
	var list []location
	for id != "" && len(list) < maxChainTurns {
		t := s.turns[turnKey{c, id}]
		if t == nil {
			break
		}
		list = append(list, t.loc)
		id = t.previous
	}
	return list
}

// expire removes programs, turns and streams whose lifetime has ended.
func (s *state) expire(now time.Time) {
	for k, p := range s.programs {
		if now.Unix() <= p.expiresAt {
			continue
		}
		for id, a := range p.attempts {
			s.removeLive(a.loc)
			s.memory -= attemptMemory(id)
		}
		s.memory -= programMemory(k)
		delete(s.programs, k)
	}
	for k, t := range s.turns {
		if now.Unix() > t.expiresAt {
			s.removeLive(t.loc)
			s.memory -= turnMemory(k, t)
			delete(s.turns, k)
		}
	}
	maps.DeleteFunc(s.gaps, func(_ turnKey, g gap) bool { return now.Unix() > g.expiresAt })
	s.expireStreams(now)
}

// allRecords returns the records that another replica needs to rebuild the state; those of turns have no input and output.
func (s *state) allRecords() []Record {
	list := s.streamRecords()
	for k, p := range s.programs {
		for id, a := range p.attempts {
			list = append(list, a.record(k, id, p.expiresAt))
		}
	}
	for k, t := range s.turns {
		list = append(list, Record{Kind: StoreTurn, Customer: k.customer, Attempt: k.turn, Previous: t.previous, ExpiresAt: t.expiresAt})
	}
	return list
}

func (a attemptState) record(k programKey, id chestnutcleat.RequestID, expiresAt int64) Record {
	kind := Reserve
	if a.settled {
		kind = Settle
	}
	return Record{Kind: kind, Customer: k.customer, Program: k.program, Attempt: id, Tokens: a.tokens, ExpiresAt: expiresAt}
}

// liveRecord returns the up-to-date form of a record if the state still refers to the given location.
func (s *state) liveRecord(r *Record, loc location) (Record, bool) {
	switch r.Kind {
	case Reserve, Settle:
		k := programKey{r.Customer, r.Program}
		p := s.programs[k]
		if p == nil {
			return Record{}, false
		}
		a := p.attempts[r.Attempt]
		return a.record(k, r.Attempt, p.expiresAt), a.loc == loc
	case StoreTurn:
		t := s.turns[turnKey{r.Customer, r.Attempt}]
		if t == nil || t.loc != loc {
			return Record{}, false
		}
		v := *r
		v.ExpiresAt = t.expiresAt
		return v, true
	case Begin:
		return s.liveBegin(r, loc)
	}
	return Record{}, false
}

// markers returns the records that restore the replica set and whether this replica is complete.
func (s *state) markers() []*Record {
	var list []*Record
	if s.replicas.Version > 0 {
		replicas := s.replicas
		list = append(list, &Record{Kind: Adopt, ReplicaSet: &replicas})
	}
	if s.complete {
		list = append(list, &Record{Kind: Complete})
	}
	return list
}

// contains reports whether applying a record of another replica would change nothing.
func (s *state) contains(r *Record) bool {
	switch r.Kind {
	case Reserve, Settle:
		p := s.programs[programKey{r.Customer, r.Program}]
		if p == nil || p.expiresAt < r.ExpiresAt {
			return false
		}
		a, ok := p.attempts[r.Attempt]
		return ok && (a.settled || r.Kind == Reserve)
	case StoreTurn:
		t := s.turns[turnKey{r.Customer, r.Attempt}]
		return t != nil && t.expiresAt >= r.ExpiresAt
	case Begin:
		return s.containsBegin(r)
	}
	return false
}
