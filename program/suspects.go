package program

import (
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

// suspectExpiry is how long crashes of a fingerprint are remembered.
const suspectExpiry = time.Hour

const (
	// maxCrashes is the largest number of upstreams that one fingerprint may crash.
	maxCrashes = 2
	// cleanTime is how long the attempts of a fingerprint are not limited after a complete answer.
	cleanTime = time.Minute
)

// suspect is the state of a fingerprint: its crashes and running attempts.
type suspect struct {
	// CrashedAttempts are the attempts that crashed.
	CrashedAttempts []chestnutcleat.RequestID `json:"h"`
	Expiry          int64                     `json:"e"`
	// Running holds the time in Unix nanoseconds until which each attempt counts as running.
	Running map[chestnutcleat.RequestID]int64 `json:"r,omitempty"`
	// cleanUntil is the time until which the attempts are not limited.
	cleanUntil time.Time
	// recorded is set if the witnesses may hold a record.
	recorded bool
}

// idle removes expired attempts and reports whether the state can be deleted.
func (s *suspect) idle(now time.Time) bool {
	for attempt, until := range s.Running {
		if now.UnixNano() >= until {
			delete(s.Running, attempt)
		}
	}
	return !s.hasCrashes(now) && len(s.Running) == 0 && !now.Before(s.cleanUntil)
}

// hasCrashes reports whether the fingerprint has crashes that have not expired.
func (s *suspect) hasCrashes(now time.Time) bool {
	return len(s.CrashedAttempts) > 0 && now.UnixNano() < s.Expiry
}

// Suspects is the table of running and crashed requests by fingerprint. It limits the crashes plus the running attempts of
// a fingerprint to maxCrashes, so that identical parallel calls cannot crash more upstreams; further calls wait. A complete
// answer clears a single crash and lifts the limit for cleanTime.
type Suspects struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Observer chestnutcleat.Observer
	// AttemptTimeout is the longest time for which an attempt counts as running; zero means the default.
	AttemptTimeout time.Duration

	entries  map[chestnutcleat.Key]*suspect
	sequence chestnutcleat.Sequence
}

// Handle processes a request. It replies to a crash report only after a majority of the witnesses has stored it.
func (t *Suspects) Handle(r chestnutcleat.CrashCheckRequest, done func(chestnutcleat.CrashCheckReply, error)) {
	now := time.Now()
	key := r.Key()
	s := t.find(key, now)
	switch {
	case r.Crashed:
		t.recordCrash(key, s, r.Attempt, done)
		return
	case r.Ended:
		delete(s.Running, r.Attempt)
		if r.Done {
			t.recordAnswer(key, s, now)
		}
		if s.idle(now) {
			t.forget(key, s)
		}
	case len(s.CrashedAttempts) < maxCrashes && !t.admit(s, r.Attempt, now):
		done(chestnutcleat.CrashCheckReply{Crashes: len(s.CrashedAttempts), Busy: true}, nil)
		return
	}
	done(chestnutcleat.CrashCheckReply{Crashes: len(s.CrashedAttempts)}, nil)
}

// find returns the state of a fingerprint, created on first use and without expired crashes.
func (t *Suspects) find(key chestnutcleat.Key, now time.Time) *suspect {
	s := t.entries[key]
	if s == nil {
		if t.entries == nil {
			t.entries = map[chestnutcleat.Key]*suspect{}
		}
		s = &suspect{}
		t.entries[key] = s
	}
	if len(s.CrashedAttempts) > 0 && !s.hasCrashes(now) {
		t.clearCrashes(key, s)
	}
	if s.Running == nil {
		s.Running = map[chestnutcleat.RequestID]int64{}
	}
	return s
}

// admit reports whether an attempt may run now and, if so, counts it as running.
func (t *Suspects) admit(s *suspect, attempt chestnutcleat.RequestID, now time.Time) bool {
	s.idle(now)
	_, known := s.Running[attempt]
	limited := len(s.CrashedAttempts) > 0 || !now.Before(s.cleanUntil)
	if !known && limited && len(s.Running)+len(s.CrashedAttempts) >= maxCrashes {
		return false
	}
	timeout := t.AttemptTimeout
	if timeout == 0 {
		timeout = chestnutcleat.DefaultCallTimeout
	}
	s.Running[attempt] = now.Add(timeout).UnixNano()
	return true
}

// recordAnswer handles a complete answer. After maxCrashes crashes nothing changes: calls are refused until they expire.
func (t *Suspects) recordAnswer(key chestnutcleat.Key, s *suspect, now time.Time) {
	if len(s.CrashedAttempts) >= maxCrashes {
		return
	}
	s.cleanUntil = now.Add(cleanTime)
	if len(s.CrashedAttempts) > 0 {
		t.clearCrashes(key, s)
	}
}

// clearCrashes removes the crashes of a fingerprint, also from the journal.
func (t *Suspects) clearCrashes(key chestnutcleat.Key, s *suspect) {
	s.CrashedAttempts, s.Expiry, s.recorded = nil, 0, false
	t.Journal.Append([]chestnutcleat.Record{t.deleted(key)}, func(error) {})
}

// forget removes the state of an idle fingerprint.
func (t *Suspects) forget(key chestnutcleat.Key, s *suspect) {
	delete(t.entries, key)
	if s.recorded {
		t.clearCrashes(key, s)
	}
}

func (t *Suspects) recordCrash(key chestnutcleat.Key, s *suspect, attempt chestnutcleat.RequestID, done func(chestnutcleat.CrashCheckReply, error)) {
	if !slices.Contains(s.CrashedAttempts, attempt) {
		s.CrashedAttempts = append(s.CrashedAttempts, attempt)
	}
	delete(s.Running, attempt)
	s.cleanUntil, s.recorded = time.Time{}, true
	s.Expiry = time.Now().Add(suspectExpiry).UnixNano()
	n := len(s.CrashedAttempts)
	t.Journal.Append([]chestnutcleat.Record{t.record(key, s)}, func(err error) {
		done(chestnutcleat.CrashCheckReply{Crashes: n}, err)
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

// Start starts the periodic sweep.
func (t *Suspects) Start() {
	t.Loop.After(time.Minute, func() {
		t.Sweep()
		t.Start()
	})
}

// Sweep removes expired crashes and attempts.
func (t *Suspects) Sweep() {
	now := time.Now()
	for key, s := range t.entries {
		if len(s.CrashedAttempts) > 0 && !s.hasCrashes(now) {
			t.clearCrashes(key, s)
		}
		if s.idle(now) {
			t.forget(key, s)
		}
	}
}

// Import implements chestnutcleat.SlotState.
func (t *Suspects) Import(_ chestnutcleat.Slot, records []chestnutcleat.Record, _ chestnutcleat.Transfer) {
	if t.entries == nil {
		t.entries = map[chestnutcleat.Key]*suspect{}
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
				t.Observer.Emit(event.ProgramRecordInvalid, "record", r.Name, "error", err)
			}
			continue
		}
		s.recorded = true
		t.entries[chestnutcleat.Key{Kind: chestnutcleat.KindProgram, ID: id}] = &s
	}
}

// Export implements chestnutcleat.SlotState.
func (t *Suspects) Export(slot chestnutcleat.Slot) []chestnutcleat.Record {
	var records []chestnutcleat.Record
	now := time.Now()
	for key, s := range t.entries {
		if key.Slot() == slot && !s.idle(now) {
			records = append(records, t.record(key, s))
		}
	}
	return records
}

// Resume implements chestnutcleat.SlotState; Export changes nothing.
func (t *Suspects) Resume(chestnutcleat.Slot) {}

// Drop implements chestnutcleat.SlotState.
func (t *Suspects) Drop(slot chestnutcleat.Slot) {
	for key := range t.entries {
		if key.Slot() == slot {
			delete(t.entries, key)
		}
	}
}
