package role

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

const (
	// allWatch is the largest fleet in which each VM watches the platform. In a larger one watchers of them do, and the others
	// follow those: calls to the platform must not grow with the fleet.
	allWatch = 8
	watchers = 3
	// settleTime bounds the time after its start in which a VM does not watch, as its lists may be old.
	settleTime = 4 * time.Second
	// probeSpacing is the time between the looks of all VMs that do not watch and did not reach the platform.
	probeSpacing = 500 * time.Millisecond
	// aheadWait gives this VM's own watch the time to bring what another VM already has.
	aheadWait     = 150 * time.Millisecond
	methodObjects = chestnutcleat.Method("mirror/objects")
	objectsTime   = time.Second
	// pollShare is the part of the time for following a change that lies between two lists that the VMs take in turn: a watch that
	// waits in vain, as the platform does not tell it of a change, must not hold up a configuration or the leaving of an instance.
	pollShare = 6
)

// objectsRequest asks another VM for its copy of a kind, or the changes since a version.
type objectsRequest struct {
	Kind  chestnutcleat.ObjectKind `json:"kind"`
	Since chestnutcleat.Version    `json:"since,omitempty"`
}

// follow adds a kind to those that this VM mirrors.
func (b *base) follow(k chestnutcleat.ObjectKind, lapses bool, changed func(mirror.Snapshot)) {
	seed := uint64(time.Now().UnixNano())
	var relists func() bool
	if k == fleetKind {
		relists = func() bool { return !b.settled() }
	}
	b.mirrors[k] = &mirror.Mirror{
		Store: b.objects, Kind: k, Lapses: lapses, Changed: b.changed(changed),
		Lost:     func(err error) { b.Observer.Emit(event.PlatformLost, "kind", k, "error", err) },
		Regained: func() { b.Observer.Emit(event.PlatformBack, "kind", k) },
		Panicked: func(err error) { b.panicked(string(k), err) },
		Rand:     rand.New(rand.NewPCG(seed, seed)),
		Watches:  b.watches, Relists: relists, ProbePause: b.probePause,
	}
}

// watches reports whether this VM watches the platform itself.
func (b *base) watches() bool {
	return b.settled() && isWatcher(b.self.VM, b.away(), b.fleet.All())
}

// settled reports whether the VM knows the fleet: if all VMs start at once none hears of the others before their objects are
// listed, and each would watch for itself.
func (b *base) settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[b.self.VM] > 0 || time.Since(b.started) > settleTime
}

// isWatcher reports whether a VM with these peers watches the platform: in a small fleet, as one of the first VMs that are
// heard, or in the place of those that do not reach the platform if it does itself. In an outage only the first ones go on.
func isWatcher(self chestnutcleat.VMID, away bool, peers iter.Seq[*peer.Peer]) bool {
	first, heard := rankHeard(self, peers, anyPeer)
	reaching, _ := rankHeard(self, peers, func(p *peer.Peer) bool { return !p.Away })
	return heard <= allWatch || first < watchers || !away && reaching < watchers
}

// probePause spreads the VMs' looks whether the platform is back, so that the fleet makes one in each probeSpacing.
func (b *base) probePause() time.Duration {
	_, heard := b.rankHeard()
	pause := time.Duration(heard) * probeSpacing
	return pause/2 + rand.N(pause)
}

// rankHeard returns a VM's place among its peers that are heard, or not missed yet, and counted, and the number of all of
// these, itself included.
func rankHeard(self chestnutcleat.VMID, peers iter.Seq[*peer.Peer], counted func(*peer.Peer) bool) (rank, heard int) {
	heard = 1
	for p := range peers {
		if p.Silent() && !p.Expected() {
			continue
		}
		heard++
		if p.VM < self && counted(p) {
			rank++
		}
	}
	return rank, heard
}

// anyPeer counts all VMs that are heard.
func anyPeer(*peer.Peer) bool { return true }

// rankHeard returns this VM's place among those that are heard, and their number.
func (b *base) rankHeard() (rank, heard int) {
	return rankHeard(b.self.VM, b.fleet.All(), anyPeer)
}

// changed takes over a change and tells the other VMs at once, if some of them do not watch and this one watches or relays.
func (b *base) changed(take func(mirror.Snapshot)) func(mirror.Snapshot) {
	return func(s mirror.Snapshot) {
		take(s)
		if b.fleet.Count() >= allWatch && (b.watches() || b.fleet.Relays()) {
			b.fleet.Soon()
		}
	}
}

// away reports whether a call to the platform failed last.
func (b *base) away() bool {
	for _, m := range b.mirrors {
		if m.Away() {
			return true
		}
	}
	return false
}

// versions are those of the kinds that this VM follows.
func (b *base) versions() map[chestnutcleat.ObjectKind]chestnutcleat.Version {
	out := make(map[chestnutcleat.ObjectKind]chestnutcleat.Version, len(b.mirrors))
	for k, m := range b.mirrors {
		out[k] = m.Version()
	}
	return out
}

// poll lists the given kinds in turn with the other VMs that are heard, so that the calls do not grow with the fleet.
func (b *base) poll(ctx context.Context, kinds ...chestnutcleat.ObjectKind) error {
	length := time.Duration(min(b.Settings.Apply, b.Settings.Drain)) * time.Millisecond / pollShare
	for {
		// The time of day only spreads the turns: where it leaps a list is made twice or late.
		now := time.Now()
		if chestnutcleat.Sleep(ctx, now.Truncate(length).Add(length).Sub(now)) != nil {
			return nil
		}
		slot := int(time.Now().UnixNano() / int64(length))
		rank, heard := b.rankHeard()
		if !b.settled() || slot/len(kinds)%heard != rank {
			continue
		}
		m := b.mirrors[kinds[slot%len(kinds)]]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, objectsTime)
			defer cancel()
			before := m.Version()
			// The mirror's watch reports a platform that does not answer.
			if m.Refresh(ctx) == nil && m.Version() > before && before > 0 {
				b.fleet.Soon()
			}
		}()
	}
}

// offer answers another VM that is behind.
func (b *base) offer(_ context.Context, q objectsRequest) (mirror.Snapshot, error) {
	m := b.mirrors[q.Kind]
	if m == nil {
		return mirror.Snapshot{}, fmt.Errorf("kind %q is not followed here", q.Kind)
	}
	return m.Offered(q.Since), nil
}

// catchUp asks another VM for the kinds of which it has newer objects.
func (b *base) catchUp(ctx context.Context, id chestnutcleat.VMID, versions map[chestnutcleat.ObjectKind]chestnutcleat.Version) {
	for k, v := range versions {
		m := b.mirrors[k]
		if m == nil || m.Version() >= v {
			continue
		}
		b.mu.Lock()
		busy := b.asking[k]
		b.asking[k] = true
		b.mu.Unlock()
		if !busy {
			go b.ask(ctx, m, id, v)
		}
	}
}

func (b *base) ask(ctx context.Context, m *mirror.Mirror, id chestnutcleat.VMID, v chestnutcleat.Version) {
	defer func() {
		b.mu.Lock()
		b.asking[m.Kind] = false
		b.mu.Unlock()
	}()
	if b.watches() && chestnutcleat.Sleep(ctx, aheadWait) != nil || m.Version() >= v {
		return
	}
	a, ok := b.fleet.Address(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, objectsTime)
	defer cancel()
	var s mirror.Snapshot
	// A VM that does not answer is asked again after its next summary.
	if err := b.client.Call(ctx, a, methodObjects, objectsRequest{Kind: m.Kind, Since: m.Version()}, &s); err != nil {
		return
	}
	b.Observer.Emit(event.PeerAhead, "kind", m.Kind, "version", s.Version, "before", m.Version(), "from", id)
	m.Offer(s)
}
