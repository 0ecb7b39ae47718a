package peer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Peer is another VM with its last summary.
type Peer struct {
	Summary
	// LastHeard is when the VM was last heard, directly or through relays; zero if it never was.
	LastHeard time.Time
	// knownSince is when this VM first learned of the other one.
	knownSince time.Time
	// silenceTimeout is the time without news after which the VM is silent.
	silenceTimeout time.Duration
	// summaries, grants and digests filter the VM's messages of these kinds.
	summaries, grants, digests sequenceFilter
	// reportedSilent is set once the VM was reported as silent.
	reportedSilent bool
	// lastDirect is when the VM last sent its own summary to this one, and groupRole its role in its group then.
	lastDirect time.Time
	groupRole  groupRole
}

// Silent reports whether the VM's state is unknown at present.
func (p *Peer) Silent() bool { return p.silentAt(time.Now()) }

func (p *Peer) silentAt(now time.Time) bool {
	return p.LastHeard.IsZero() || now.Sub(p.LastHeard) > p.silenceTimeout
}

// Expected reports whether the VM was not heard yet but became known only recently.
func (p *Peer) Expected() bool {
	return p.LastHeard.IsZero() && time.Since(p.knownSince) < p.silenceTimeout
}

// SilentFor returns the time since the VM was heard, or since it became known.
func (p *Peer) SilentFor() time.Duration {
	if p.LastHeard.IsZero() {
		return time.Since(p.knownSince)
	}
	return time.Since(p.LastHeard)
}

// peerTable holds the other VMs by id, sorted and divided by group. Callers need each of these several times a second, so it is
// built only when the VMs change.
type peerTable struct {
	byID map[chestnutcleat.VMID]*Peer
	// sorted has all VMs by id.
	sorted []*Peer
	// local has the VMs of this group and those that the platform does not list, remote the others by hash of id.
	local  []*Peer
	remote map[uint32]*Peer
}

func newPeerTable() peerTable { return peerTable{byID: map[chestnutcleat.VMID]*Peer{}} }

func newPeer(m Member) *Peer {
	return &Peer{Summary: Summary{Member: m}, knownSince: time.Now(), silenceTimeout: silenceIntervals * summaryInterval}
}

// rebuild drops the VMs that are neither listed nor heard, and orders the others.
func (t *peerTable) rebuild(g *groups) {
	t.sorted, t.local, t.remote = nil, nil, map[uint32]*Peer{}
	for id, p := range t.byID {
		p.silenceTimeout = g.silenceTimeout()
		if !g.isListed(id) && p.Silent() {
			delete(t.byID, id)
			continue
		}
		t.sorted = append(t.sorted, p)
	}
	slices.SortFunc(t.sorted, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	for _, p := range t.sorted {
		if g.isRemote(p.VM) {
			t.remote[hashID(string(p.VM))] = p
		} else {
			t.local = append(t.local, p)
		}
	}
}

// newlySilent returns the VMs that became silent since the last call.
func (t *peerTable) newlySilent() []chestnutcleat.VMID {
	now := time.Now()
	var list []chestnutcleat.VMID
	for _, p := range t.sorted {
		silent := p.silentAt(now)
		if silent && !p.reportedSilent && !p.LastHeard.IsZero() {
			list = append(list, p.VM)
		}
		p.reportedSilent = silent
	}
	return list
}

// All returns the other VMs in the order of their ids. It holds the lock: no other method may be called during the iteration.
func (f *Fleet) All() iter.Seq[*Peer] {
	f.init()
	return func(yield func(*Peer) bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, p := range f.peers.sorted {
			if !yield(p) {
				return
			}
		}
	}
}

// Peers returns copies of all other VMs in the order of their ids.
func (f *Fleet) Peers() []Peer {
	var list []Peer
	for p := range f.All() {
		list = append(list, *p)
	}
	return list
}

// VMs returns the ids of the other VMs in order.
func (f *Fleet) VMs() []chestnutcleat.VMID {
	list := make([]chestnutcleat.VMID, 0, f.Count()+1)
	for p := range f.All() {
		list = append(list, p.VM)
	}
	return list
}

// Count returns the number of other VMs.
func (f *Fleet) Count() int {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers.sorted)
}
