package place

import "time"

// renewalTime is how long after an instance was reached again its registration may still be that of a process before: a new one registers
// at its start, and renews its entry more than twice in this time.
const renewalTime = 3 * time.Second

// reachability tells whether an instance may have been started again since its registration.
type reachability struct {
	// failed is set once no connection to the instance could be opened, as nothing may have been left under its registration.
	failed bool
	// answeredAt is the time of the first answer after that; zero before it.
	answeredAt time.Time
}

// uncertain reports whether an instance may be another process than the one that its registration names, and so of another software
// version. It is certain again once it has answered, and the registrations have been followed without a gap, for renewalTime. The caller
// holds mu.
func (t *Table) uncertain(s *instanceState, now time.Time) bool {
	r := &s.reach
	if !r.failed {
		return false
	}
	from := r.answeredAt
	if t.versions.since.After(from) {
		from = t.versions.since
	}
	if r.answeredAt.IsZero() || now.Sub(from) < renewalTime {
		return true
	}
	r.failed = false
	return false
}

// Unreached records that no connection to the instance could be opened.
func (a *Assignment) Unreached() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if s := a.state(); s != nil {
		s.reach = reachability{failed: true}
	}
}

// Answered records that the instance answered.
func (a *Assignment) Answered() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if s := a.state(); s != nil && s.reach.failed && s.reach.answeredAt.IsZero() {
		s.reach.answeredAt = time.Now()
	}
}

// state returns the state of the assignment's instance, or nil if it is no longer known or was registered anew. The caller holds mu.
func (a *Assignment) state() *instanceState {
	s := a.table.byID[a.ID]
	if s == nil || !sameStart(&s.Instance, &a.Instance) {
		return nil
	}
	return s
}
