package program

import (
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

// suspectExpiry is how long the mark of a crash lasts.
const suspectExpiry = time.Hour

const (
	// maxCrashes is how many upstreams one fingerprint may cost in all.
	maxCrashes = 2
	// cleanTime is how long after a complete answer the attempts of a fingerprint are not limited.
	cleanTime = time.Minute
)

// suspect is what is known of a fingerprint: its crashes and the attempts that run.
type suspect struct {
	// Holders are the attempts that crashed.
	Holders []chestnutcleat.RequestID `json:"h"`
	Expiry  int64                     `json:"e"`
	// Running holds the time until which each running attempt counts.
	Running map[chestnutcleat.RequestID]int64 `json:"r,omitempty"`
	// clean is until when the fingerprint counts as harmless.
	clean time.Time
	// recorded tells that the witnesses may hold a record.
	recorded bool
}

// idle tells that nothing need be remembered.
func (s *suspect) idle(now time.Time) bool {
	for holder, until := range s.Running {
		if now.UnixNano() >= until {
			delete(s.Running, holder)
		}
	}
	return !s.marked(now) && len(s.Running) == 0 && !now.Before(s.clean)
}

// marked tells that a crash is known that has not expired.
func (s *suspect) marked(now time.Time) bool { return len(s.Holders) > 0 && now.UnixNano() < s.Expiry }

// Suspects is the table of requests that run or crashed upstreams, by fingerprint. The crashes of a fingerprint and its
// running attempts are together at most maxCrashes, so that identical calls sent in parallel cannot cost more upstreams;
// further ones wait. A complete answer clears a single mark and lifts the limit for cleanTime.
type Suspects struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Observer chestnutcleat.Observer
	// Trial is the longest time for which an attempt counts as running; zero means the default.
	Trial time.Duration

	marks    map[chestnutcleat.Key]*suspect
	sequence chestnutcleat.Sequence
}

// Handle answers a request; a crash is answered once its mark is on a majority of witnesses.
func (t *Suspects) Handle(r chestnutcleat.SuspectRequest, done func(chestnutcleat.SuspectReply, error)) {
	now := time.Now()
	key := r.Key()
	s := t.find(key, now)
	switch {
	case r.Crashed:
		t.mark(key, s, r.Holder, done)
		return
	case r.Ended:
		delete(s.Running, r.Holder)
		if r.Done {
			t.clear(key, s, now)
		}
		if s.idle(now) {
			t.forget(key, s)
		}
	case len(s.Holders) < maxCrashes && !t.admit(s, r.Holder, now):
		done(chestnutcleat.SuspectReply{Crashes: len(s.Holders), Busy: true}, nil)
		return
	}
	done(chestnutcleat.SuspectReply{Crashes: len(s.Holders)}, nil)
}

// find returns the state of a fingerprint without an expired mark.
func (t *Suspects) find(key chestnutcleat.Key, now time.Time) *suspect {
	s := t.marks[key]
	if s == nil {
		if t.marks == nil {
			t.marks = map[chestnutcleat.Key]*suspect{}
		}
		s = &suspect{}
		t.marks[key] = s
	}
	if len(s.Holders) > 0 && !s.marked(now) {
		t.unmark(key, s)
	}
	if s.Running == nil {
		s.Running = map[chestnutcleat.RequestID]int64{}
	}
	return s
}

// admit tells whether an attempt may run now and counts it.
func (t *Suspects) admit(s *suspect, holder chestnutcleat.RequestID, now time.Time) bool {
	s.idle(now)
	_, known := s.Running[holder]
	limited := len(s.Holders) > 0 || !now.Before(s.clean)
	if !known && limited && len(s.Running)+len(s.Holders) >= maxCrashes {
		return false
	}
	trial := t.Trial
	if trial == 0 {
		trial = chestnutcleat.DefaultCallTimeout
	}
	s.Running[holder] = now.Add(trial).UnixNano()
	return true
}

// clear notes a complete answer. Two marks stay: the call is refused for as long as they last.
func (t *Suspects) clear(key chestnutcleat.Key, s *suspect, now time.Time) {
	if len(s.Holders) >= maxCrashes {
		return
	}
	s.clean = now.Add(cleanTime)
	if len(s.Holders) > 0 {
		t.unmark(key, s)
	}
}

// unmark forgets the crashes of a fingerprint, also at the witnesses.
func (t *Suspects) unmark(key chestnutcleat.Key, s *suspect) {
	s.Holders, s.Expiry, s.recorded = nil, 0, false
	t.Journal.Append([]chestnutcleat.Record{t.deleted(key)}, func(error) {})
}

// forget drops the state of an idle fingerprint.
func (t *Suspects) forget(key chestnutcleat.Key, s *suspect) {
	delete(t.marks, key)
	if s.recorded {
		t.unmark(key, s)
	}
}

func (t *Suspects) mark(key chestnutcleat.Key, s *suspect, holder chestnutcleat.RequestID, done func(chestnutcleat.SuspectReply, error)) {
	if !slices.Contains(s.Holders, holder) {
		s.Holders = append(s.Holders, holder)
	}
	delete(s.Running, holder)
	s.clean, s.recorded = time.Time{}, true
	s.Expiry = time.Now().Add(suspectExpiry).UnixNano()
	n := len(s.Holders)
	t.Journal.Append([]chestnutcleat.Record{t.record(key, s)}, func(err error) {
		done(chestnutcleat.SuspectReply{Crashes: n}, err)
	})
}

func (t *Suspects) deleted(key chestnutcleat.Key) chestnutcleat.Record {
	t.sequence++
	return chestnutcleat.Record{Slot: key.Slot(), Name: suspectPrefix + key.ID, Sequence: t.sequence, Deleted: true}
}

func (t *Suspects) record(key chestnutcleat.Key, s *suspect) chestnutcleat.Record {
	data, err := vm.Encode(s)
	if err != nil {
		// The record type has only fields that can be encoded.
		panic(err)
	}
	t.sequence++
	return chestnutcleat.Record{Slot: key.Slot(), Name: suspectPrefix + key.ID, Sequence: t.sequence, Data: data, Urgent: true}
}

// Run starts the timer that forgets expired marks.
func (t *Suspects) Run() {
	t.Loop.After(time.Minute, func() {
		t.Sweep()
		t.Run()
	})
}

// Sweep forgets expired marks and attempts.
func (t *Suspects) Sweep() {
	now := time.Now()
	for key, s := range t.marks {
		if len(s.Holders) > 0 && !s.marked(now) {
			t.unmark(key, s)
		}
		if s.idle(now) {
			t.forget(key, s)
		}
	}
}

// Import implements chestnutcleat.Owned.
func (t *Suspects) Import(_ chestnutcleat.Slot, records []chestnutcleat.Record, _ chestnutcleat.Transfer) {
	if t.marks == nil {
		t.marks = map[chestnutcleat.Key]*suspect{}
	}
	for _, r := range latest(records) {
		t.sequence = max(t.sequence, r.Sequence)
		id, ok := strings.CutPrefix(r.Name, suspectPrefix)
		if !ok || r.Deleted {
			continue
		}
		s, err := vm.Decode[suspect](r.Data)
		if err != nil {
			if t.Observer != nil {
				t.Observer.Emit(event.ProgramBadRecord, "record", r.Name, "error", err)
			}
			continue
		}
		s.recorded = true
		t.marks[chestnutcleat.Key{Kind: chestnutcleat.KindProgram, ID: id}] = &s
	}
}

// Export implements chestnutcleat.Owned.
func (t *Suspects) Export(slot chestnutcleat.Slot) []chestnutcleat.Record {
	var records []chestnutcleat.Record
	now := time.Now()
	for key, s := range t.marks {
		if key.Slot() == slot && !s.idle(now) {
			records = append(records, t.record(key, s))
		}
	}
	return records
}

// Resume implements chestnutcleat.Owned; Export changes nothing.
func (t *Suspects) Resume(chestnutcleat.Slot) {}

// Drop implements chestnutcleat.Owned.
func (t *Suspects) Drop(slot chestnutcleat.Slot) {
	for key := range t.marks {
		if key.Slot() == slot {
			delete(t.marks, key)
		}
	}
}
