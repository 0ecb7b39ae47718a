package role

import (
	"context"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

const (
	// maxAllWatchFleet is the largest fleet in which every VM watches the platform. In a larger one only watcherCount VMs do
	// and the others get changes from them, so that calls to the platform don't grow with the fleet.
	maxAllWatchFleet = 8
	watcherCount     = 3
	// maxSettleTime bounds how long a VM doesn't watch after its start, while it may not know the fleet yet.
	maxSettleTime = 4 * time.Second
	// fleetProbeInterval is the time between probes of an unreachable platform, counted over all VMs that don't watch.
	fleetProbeInterval = 500 * time.Millisecond
	// refreshTimeout bounds a list of a kind in turn.
	refreshTimeout = time.Second
	// pollSlotDivisor divides the shorter of the deadlines for applying a change into the slots in which the VMs list in turn.
	// A watch that misses a change must not delay a configuration or the draining of an instance.
	pollSlotDivisor = 6
)

// follow starts to mirror a kind and calls changed after each change. changed returns the objects that it could not decode.
func (b *base) follow(k chestnutcleat.ObjectKind, retainAfterOutage bool, changed func(mirror.Snapshot) []invalidObject) {
	seed := uint64(time.Now().UnixNano())
	var shouldPoll func() bool
	if k == fleetKind {
		shouldPoll = func() bool { return !b.settled() }
	}
	b.mirrors[k] = &mirror.Mirror{
		Store: b.objects, Kind: k, RetainAfterOutage: retainAfterOutage, OnChange: b.notifyPeersAfter(b.reportInvalidAfter(k, changed)),
		OnDisconnect: func(err error) { b.Observer.Emit(event.PlatformLost, "kind", k, "error", err) },
		OnReconnect:  func() { b.Observer.Emit(event.PlatformBack, "kind", k) },
		OnPanic:      func(err error) { b.reportPanic(string(k), err) },
		Rand:         rand.New(rand.NewPCG(seed, seed)),
		ShouldWatch:  b.shouldWatch, ShouldPoll: shouldPoll, ProbeInterval: b.probeInterval,
	}
	if slices.Contains(b.polled, k) {
		b.mirrors[k].ConfirmInterval = b.pollSlot() * time.Duration(len(b.polled))
	}
}

// pollSlot returns the length of the slots in which the VMs list in turn.
func (b *base) pollSlot() time.Duration {
	return time.Duration(min(b.Settings.ApplyMS, b.Settings.DrainMS)) * time.Millisecond / pollSlotDivisor
}

// shouldWatch reports whether this VM watches the platform itself.
func (b *base) shouldWatch() bool {
	return b.settled() && isWatcher(b.self.VM, b.platformUnreachable(), b.fleet.All())
}

// settled reports whether the VM knows the fleet. When all VMs start at once, none hears of the others before their objects are
// listed, and without this check each would watch for itself.
func (b *base) settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.memberVersions[b.self.VM] > 0 || time.Since(b.started) > maxSettleTime
}

// isWatcher reports whether a VM with these peers watches the platform: always in a small fleet; as one of the first VMs that
// are heard and stay; or, if it reaches the platform, in place of VMs that don't. In an outage only the first ones continue to watch.
func isWatcher(self chestnutcleat.VMID, unreachable bool, peers iter.Seq[*peer.Peer]) bool {
	rank, heard := rankHeard(self, peers, func(p *peer.Peer) bool { return !p.Leaving })
	reachingRank, _ := rankHeard(self, peers, func(p *peer.Peer) bool { return !p.Leaving && !p.PlatformUnreachable })
	return heard <= maxAllWatchFleet || rank < watcherCount || !unreachable && reachingRank < watcherCount
}

// probeInterval returns a random interval that grows with the fleet, so that all VMs together probe once per
// fleetProbeInterval.
func (b *base) probeInterval() time.Duration {
	_, heard := b.rankHeard()
	interval := time.Duration(heard) * fleetProbeInterval
	return interval/2 + rand.N(interval)
}

// rankHeard considers the peers that are heard, or that became known so recently that they need not be heard yet. rank is the
// number of those that counted accepts and whose id is lower than self, and heard is the number of all of them and this VM.
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

// anyPeer counts all peers.
func anyPeer(*peer.Peer) bool { return true }

// rankHeard returns this VM's rank among the VMs that are heard, and their number.
func (b *base) rankHeard() (rank, heard int) {
	return rankHeard(b.self.VM, b.fleet.All(), anyPeer)
}

// notifyPeersAfter returns a function that applies a change and, in a fleet with VMs that don't watch, sends a summary at once
// if this VM watches or is a relay.
func (b *base) notifyPeersAfter(apply func(mirror.Snapshot)) func(mirror.Snapshot) {
	return func(s mirror.Snapshot) {
		apply(s)
		if b.fleet.Count() >= maxAllWatchFleet && (b.shouldWatch() || b.fleet.IsRelay()) {
			b.fleet.SendSoon()
		}
	}
}

// platformUnreachable reports whether the last call of any mirror to the platform failed.
func (b *base) platformUnreachable() bool {
	for _, m := range b.mirrors {
		if m.Unreachable() {
			return true
		}
	}
	return false
}

// confirmed returns how long ago the platform had nothing newer than the versions of the polled kinds, in milliseconds.
func (b *base) confirmed() map[chestnutcleat.ObjectKind]uint32 {
	out := make(map[chestnutcleat.ObjectKind]uint32, len(b.polled))
	for _, k := range b.polled {
		if age, ok := b.mirrors[k].Confirmed(); ok {
			out[k] = uint32(min(age.Milliseconds(), math.MaxUint32))
		}
	}
	return out
}

// applyConfirmed applies what another VM says on when the platform had nothing newer than its versions.
func (b *base) applyConfirmed(versions map[chestnutcleat.ObjectKind]chestnutcleat.Version, ages map[chestnutcleat.ObjectKind]uint32) {
	if len(ages) == 0 {
		return
	}
	latest := time.Duration(math.MaxInt64)
	for k, v := range ages {
		age := time.Duration(v) * time.Millisecond
		latest = min(latest, age)
		if m := b.mirrors[k]; m != nil {
			m.Confirm(versions[k], age)
		}
	}
	for _, m := range b.mirrors {
		m.AnsweredOther(latest)
	}
}

// versions returns the version of each kind that this VM follows.
func (b *base) versions() map[chestnutcleat.ObjectKind]chestnutcleat.Version {
	out := make(map[chestnutcleat.ObjectKind]chestnutcleat.Version, len(b.mirrors))
	for k, m := range b.mirrors {
		out[k] = m.Version()
	}
	return out
}

// poll lists the polled kinds in turn with the other VMs that are heard, so that calls don't grow with the fleet.
func (b *base) poll(ctx context.Context) error {
	kinds, slotLength := b.polled, b.pollSlot()
	for {
		// The wall clock only distributes the turns: if it jumps, a list is made twice or late.
		now := time.Now()
		if chestnutcleat.Sleep(ctx, now.Truncate(slotLength).Add(slotLength).Sub(now)) != nil {
			return nil
		}
		slot := int(time.Now().UnixNano() / int64(slotLength))
		rank, heard := b.rankHeard()
		if !b.settled() || slot/len(kinds)%heard != rank {
			continue
		}
		m := b.mirrors[kinds[slot%len(kinds)]]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
			defer cancel()
			before := m.Version()
			// The mirror's watch reports an unreachable platform.
			if m.Refresh(ctx) == nil && m.Version() > before && before > 0 {
				b.fleet.SendSoon()
			}
		}()
	}
}
