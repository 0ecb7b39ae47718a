package peer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Peer is another VM and its last summary.
type Peer struct {
	Summary
	// Heard is when the last summary arrived; zero if none did.
	Heard time.Time
	// known is when this VM first knew of the other one.
	known time.Time
	// patience is the age from which the last summary says nothing about the present.
	patience time.Duration
	// summaries, grants and digests order the VM's messages.
	summaries, grants, digests series
	// lost is set once the VM was reported as silent.
	lost bool
	// direct is when a datagram with the VM's own summary came from it, and part what the VM was then.
	direct time.Time
	part   part
}

// Silent reports whether the VM's state is not known at the moment.
func (p *Peer) Silent() bool { return p.silentAt(time.Now()) }

func (p *Peer) silentAt(now time.Time) bool { return p.Heard.IsZero() || now.Sub(p.Heard) > p.patience }

// Expected reports whether the VM was not heard yet, but may be soon.
func (p *Peer) Expected() bool { return p.Heard.IsZero() && time.Since(p.known) < p.patience }

// Quiet returns how long the VM has not been heard.
func (p *Peer) Quiet() time.Duration {
	if p.Heard.IsZero() {
		return time.Since(p.known)
	}
	return time.Since(p.Heard)
}

// roster keeps the other VMs in the orders in which they are asked for, as each of them is several times a second.
type roster struct {
	peers map[chestnutcleat.VMID]*Peer
	// sorted has all by id.
	sorted []*Peer
	// near are those of this VM's group and those that the platform does not list, and far the others, by short name.
	near []*Peer
	far  map[uint32]*Peer
}

func newRoster() roster { return roster{peers: map[chestnutcleat.VMID]*Peer{}} }

func newPeer(m Member) *Peer {
	return &Peer{Summary: Summary{Member: m}, known: time.Now(), patience: silentIntervals * interval}
}

// arrange drops the VMs that are neither listed nor heard and orders the others.
func (r *roster) arrange(g *groups) {
	r.sorted, r.near, r.far = nil, nil, map[uint32]*Peer{}
	for id, p := range r.peers {
		p.patience = g.patience()
		if !g.has(id) && p.Silent() {
			delete(r.peers, id)
			continue
		}
		r.sorted = append(r.sorted, p)
	}
	slices.SortFunc(r.sorted, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	for _, p := range r.sorted {
		if g.isFar(p.VM) {
			r.far[shortName(string(p.VM))] = p
		} else {
			r.near = append(r.near, p)
		}
	}
}

// missed returns the VMs that were heard and became silent since the last call.
func (r *roster) missed() []chestnutcleat.VMID {
	now := time.Now()
	var list []chestnutcleat.VMID
	for _, p := range r.sorted {
		silent := p.silentAt(now)
		if silent && !p.lost && !p.Heard.IsZero() {
			list = append(list, p.VM)
		}
		p.lost = silent
	}
	return list
}

// All returns the other VMs in the order of their ids; the fleet must not be asked for anything else meanwhile.
func (f *Fleet) All() iter.Seq[*Peer] {
	f.init()
	return func(yield func(*Peer) bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, p := range f.roster.sorted {
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
	return len(f.roster.sorted)
}
