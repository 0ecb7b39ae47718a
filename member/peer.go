package member

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// peer is another VM's state as known to this one.
type peer struct {
	update
	// sendsLeft is the number of further messages that will carry the state.
	sendsLeft      int
	suspicionTimer chestnutcleat.Timer
	changedAt      time.Time
}

// present reports whether the VM is not gone.
func (p *peer) present() bool { return p.VM.State != chestnutcleat.VMGone }

// rankOf orders the states of one incarnation; a VM never returns to a state of lower rank.
func rankOf(s chestnutcleat.VMState) int {
	switch s {
	case chestnutcleat.VMJoining:
		return 0
	case chestnutcleat.VMLive:
		return 1
	case chestnutcleat.VMLeaving:
		return 2
	}
	return 3
}

// mergeUpdates combines two updates about one VM; the result does not depend on their order of arrival.
func mergeUpdates(a, b update) update {
	if a.VM.Incarnation != b.VM.Incarnation {
		if a.VM.Incarnation > b.VM.Incarnation {
			return a
		}
		return b
	}
	r := a
	if b.Refutations > a.Refutations {
		r = b
	}
	r.Suspect = (a.Suspect && a.Refutations == r.Refutations) || (b.Suspect && b.Refutations == r.Refutations)
	r.VM.State = a.VM.State
	if rankOf(b.VM.State) > rankOf(a.VM.State) {
		r.VM.State = b.VM.State
	}
	if r.VM.State == chestnutcleat.VMGone {
		r.Suspect = false
	}
	return r
}

// digestOf returns the digest entry of an update.
func digestOf(u update) digestEntry {
	r := 2 * rankOf(u.VM.State)
	if u.Suspect {
		r++
	}
	return digestEntry{Name: string(u.VM.ID), Version: uint64(u.VM.Incarnation), Refutations: u.Refutations, Rank: r}
}
