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

// suspect is the mark of a fingerprint.
type suspect struct {
	// Holders are the attempts that crashed.
	Holders []chestnutcleat.RequestID `json:"h"`
	Expiry  int64                     `json:"e"`
	// trial is the attempt that may run after one crash.
	trial      chestnutcleat.RequestID
	trialUntil time.Time
}

// Suspects is the table of requests that crashed upstreams, by fingerprint.
type Suspects struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Observer chestnutcleat.Observer
	// Trial is the longest time for which one attempt keeps others of its fingerprint waiting; zero means the default.
	Trial time.Duration

	marks    map[chestnutcleat.Key]*suspect
	sequence chestnutcleat.Sequence
}

// Handle answers a request; a crash is answered once its mark is on a majority of witnesses.
func (t *Suspects) Handle(r chestnutcleat.SuspectRequest, done func(chestnutcleat.SuspectReply, error)) {
	key := r.Key()
	s := t.marks[key]
	if s != nil && time.Now().UnixNano() >= s.Expiry {
		delete(t.marks, key)
		s = nil
	}
	switch {
	case r.Crashed:
		t.mark(key, r.Holder, done)
	case s == nil:
		done(chestnutcleat.SuspectReply{}, nil)
	case r.Ended:
		if s.trial == r.Holder {
			s.trial = ""
		}
		done(chestnutcleat.SuspectReply{Crashes: len(s.Holders)}, nil)
	default:
		done(chestnutcleat.SuspectReply{Crashes: len(s.Holders), Busy: t.busy(s, r.Holder)}, nil)
	}
}

// busy gives the only allowed run of a marked fingerprint to one holder at a time.
func (t *Suspects) busy(s *suspect, holder chestnutcleat.RequestID) bool {
	now := time.Now()
	if s.trial != "" && s.trial != holder && now.Before(s.trialUntil) {
		return true
	}
	trial := t.Trial
	if trial == 0 {
		trial = chestnutcleat.DefaultCallTimeout
	}
	s.trial, s.trialUntil = holder, now.Add(trial)
	return false
}

func (t *Suspects) mark(key chestnutcleat.Key, holder chestnutcleat.RequestID, done func(chestnutcleat.SuspectReply, error)) {
	if t.marks == nil {
		t.marks = map[chestnutcleat.Key]*suspect{}
	}
	s := t.marks[key]
	if s == nil {
		s = &suspect{}
		t.marks[key] = s
	}
	if !slices.Contains(s.Holders, holder) {
		s.Holders = append(s.Holders, holder)
	}
	if s.trial == holder {
		s.trial = ""
	}
	s.Expiry = time.Now().Add(suspectExpiry).UnixNano()
	n := len(s.Holders)
	t.Journal.Append([]chestnutcleat.Record{t.record(key, s)}, func(err error) {
		done(chestnutcleat.SuspectReply{Crashes: n}, err)
	})
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

// Sweep forgets expired marks.
func (t *Suspects) Sweep() {
	now := time.Now().UnixNano()
	var records []chestnutcleat.Record
	for key, s := range t.marks {
		if now >= s.Expiry {
			delete(t.marks, key)
			t.sequence++
			records = append(records, chestnutcleat.Record{Slot: key.Slot(), Name: suspectPrefix + key.ID, Sequence: t.sequence, Deleted: true})
		}
	}
	if len(records) > 0 {
		t.Journal.Append(records, func(error) {})
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
		t.marks[chestnutcleat.Key{Kind: chestnutcleat.KindProgram, ID: id}] = &s
	}
}

// Export implements chestnutcleat.Owned.
func (t *Suspects) Export(slot chestnutcleat.Slot) []chestnutcleat.Record {
	var records []chestnutcleat.Record
	for key, s := range t.marks {
		if key.Slot() == slot {
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
