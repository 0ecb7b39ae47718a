package member

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// peer is another VM as this one knows it.
type peer struct {
	update
	// sends is the number of messages that are still to carry the state.
	sends int
	timer chestnutcleat.Timer
	since time.Time
}

// present reports whether the VM is live or leaving.
func (p *peer) present() bool { return p.VM.State != chestnutcleat.VMGone }

// rankOf orders the states of one incarnation; a higher one is never undone.
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

// merge combines two updates about one VM; it does not depend on their order of arrival.
func merge(a, b update) update {
	if a.VM.Incarnation != b.VM.Incarnation {
		if a.VM.Incarnation > b.VM.Incarnation {
			return a
		}
		return b
	}
	r := a
	if b.Count > a.Count {
		r = b
	}
	r.Suspect = (a.Suspect && a.Count == r.Count) || (b.Suspect && b.Count == r.Count)
	r.VM.State = a.VM.State
	if rankOf(b.VM.State) > rankOf(a.VM.State) {
		r.VM.State = b.VM.State
	}
	if r.VM.State == chestnutcleat.VMGone {
		r.Suspect = false
	}
	return r
}

// stampOf returns the version of an update.
func stampOf(u update) stamp {
	r := 2 * rankOf(u.VM.State)
	if u.Suspect {
		r++
	}
	return stamp{Name: string(u.VM.ID), Version: uint64(u.VM.Incarnation), Count: u.Count, Rank: r}
}
