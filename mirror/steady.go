package mirror

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// maxNoticedOutage bounds the outages that confirmations must be frequent enough to notice, for objects that vanish to be taken as
	// removed on purpose: an outage shorter than two renewals of an entry lets none lapse for long.
	maxNoticedOutage = 2400 * time.Millisecond
	// confirmDelay is how much later than expected a confirmation may be.
	confirmDelay = time.Second
	// steadyTime is how long the platform must have answered some VM without an outage before objects that vanish are taken as removed on
	// purpose. It is longer than entries that lapsed in an outage take to come back.
	steadyTime = 5 * time.Second
	// forgiveTime is how much later than this VM's last failure another one must have had an answer to show that the platform is back.
	forgiveTime = time.Second
)

// availability tells since when the platform has answered some VM without an outage.
type availability struct {
	last, since time.Time
}

// note records an answer of the platform.
func (a *availability) note(at time.Time, minOutage time.Duration) {
	if !at.After(a.last) {
		return
	}
	if at.Sub(a.last) > minOutage {
		a.since = at
	}
	a.last = at
}

// minOutage returns the time without an answer to any VM that counts as an outage.
func (m *Mirror) minOutage() time.Duration { return m.ConfirmInterval + confirmDelay }

// steady reports whether the platform has answered the VMs for long enough without an outage, so that no object can have lapsed in one.
// The caller holds mu.
func (m *Mirror) steady() bool {
	minOutage := m.minOutage()
	if m.ConfirmInterval == 0 || minOutage > maxNoticedOutage {
		return false
	}
	return time.Since(m.answers.last) <= 2*minOutage && time.Since(m.answers.since) >= steadyTime
}

// mayHaveLapsed reports whether objects that vanish now may have lapsed in an outage, after which they come back: if this VM, or a mass
// deletion, suggests an outage that the answers to other VMs don't rule out. A failed call of this VM alone is no outage of the platform.
// The caller holds mu.
func (m *Mirror) mayHaveLapsed(suspected bool) bool { return suspected && !m.steady() }

// confirm records that the platform had nothing newer than the known state at a time. The caller holds mu.
func (m *Mirror) confirm(at time.Time) {
	m.answers.note(at, m.minOutage())
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// Confirmed returns the time since the platform last had nothing newer than the known state, by this VM's own lists or those of others;
// ok is false if it never was confirmed.
func (m *Mirror) Confirmed() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmedAt), !m.confirmedAt.IsZero()
}

// Confirm records that another VM found the platform at a version of the kind some time ago.
func (m *Mirror) Confirm(v chestnutcleat.Version, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version >= v {
		m.confirm(time.Now().Add(-age))
	}
}

// AnsweredOther records that the platform answered another VM some time ago. On a VM that doesn't watch, and so has made no call since its
// last one failed, this also shows that the platform is back.
func (m *Mirror) AnsweredOther(age time.Duration) {
	idle := m.Unreachable() && m.ShouldWatch != nil && !m.ShouldWatch()
	if m.noteAnswered(time.Now().Add(-age), idle) && m.OnReconnect != nil {
		m.OnReconnect()
	}
}

// noteAnswered records an answer to another VM and reports whether the platform is reachable again.
func (m *Mirror) noteAnswered(at time.Time, idle bool) (back bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers.note(at, m.minOutage())
	if !idle || !m.unreachable || at.Sub(m.lastFailure) < forgiveTime {
		return false
	}
	m.unreachable = false
	return true
}
