package member

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// tick runs every probeInterval; it removes expired state and probes one peer.
func (l *List) tick() {
	now := time.Now()
	if now.Sub(l.lastTick) > 2*probeInterval+pauseMargin {
		l.emit(event.MemberPaused, "seconds", now.Sub(l.lastTick).Seconds())
	}
	l.lastTick = now
	// The timer may fire slightly before the second of the wall clock starts.
	second := now.Add(probeInterval / 10).Truncate(probeInterval)
	l.Loop.After(second.Add(probeInterval).Sub(now), l.tick)
	l.removeExpired(now)
	p := l.probeTarget(second)
	if p == nil {
		return
	}
	// The offset within the second depends only on the target, so that it is probed at equal intervals by changing VMs,
	// and the probes of the fleet are spread over the second.
	offset := time.Duration(xxhash.Sum64String(string(p.VM.ID)) % uint64(probeInterval))
	l.Loop.After(second.Add(offset).Sub(now), func() {
		if p.present() {
			l.probe(p)
		}
	})
}

// probeTarget returns the peer to probe. In each second all VMs use the same offset in the ring of ids, so that each VM is
// probed by exactly one other VM every second.
func (l *List) probeTarget(now time.Time) *peer {
	members := l.Snapshot()
	n := len(members)
	if n < 2 {
		return nil
	}
	self := 0
	for i, m := range members {
		if m.ID == l.Self.ID {
			self = i
		}
	}
	step := 1 + int(now.Unix()%int64(n-1))
	return l.peers[members[(self+step)%n].ID]
}

// probe probes a peer directly and, if it does not answer, indirectly through other VMs.
func (l *List) probe(p *peer) {
	start := time.Now()
	known := p.update
	l.sendProbe(p.VM.Address, known, probeTimeout, func(ok bool) {
		paused := time.Since(start) > probeTimeout+pauseMargin
		if ok || paused || p.update != known || !p.present() {
			return
		}
		l.probeIndirectly(p, known)
	})
}

// sendProbe probes an address; known is the target's state if this VM knows the target.
func (l *List) sendProbe(to chestnutcleat.Address, known update, timeout time.Duration, done func(bool)) {
	r := probeRequest{Gossip: l.nextGossip(known)}
	work := func(ctx context.Context) (probeReply, error) {
		var a probeReply
		err := l.Peers.Call(ctx, to, chestnutcleat.MethodProbe, r, &a)
		return a, err
	}
	chestnutcleat.Async(l.Loop, timeout, work, func(a probeReply, err error) {
		if err == nil {
			l.mergeGossip(a.Gossip)
			l.syncIfDifferent(to, a.Gossip)
			l.notify()
		}
		// Another VM may have taken over the address.
		done(err == nil && a.Gossip.Self.VM.ID == known.VM.ID)
	})
}

// probeIndirectly asks other VMs to probe a peer that did not answer, and suspects the peer if none of them reaches it.
func (l *List) probeIndirectly(p *peer, known update) {
	start := time.Now()
	others := l.randomPeers(indirectProbes, p)
	outstanding := len(others)
	answered := false
	end := func(ok bool) {
		outstanding--
		answered = answered || ok
		paused := time.Since(start) > relayTimeout+pauseMargin
		if outstanding > 0 || answered || paused || p.update != known || !p.present() {
			return
		}
		l.suspectPeer(p)
	}
	if outstanding == 0 {
		outstanding = 1
		end(false)
		return
	}
	for _, o := range others {
		l.askRelay(o, p, end)
	}
}

func (l *List) askRelay(o, p *peer, done func(bool)) {
	r := relayRequest{Gossip: l.nextGossip(o.update), Target: p.VM.Address, About: p.update}
	to := o.VM.Address
	work := func(ctx context.Context) (relayReply, error) {
		var a relayReply
		err := l.Peers.Call(ctx, to, chestnutcleat.MethodRelay, r, &a)
		return a, err
	}
	chestnutcleat.Async(l.Loop, relayTimeout, work, func(a relayReply, err error) {
		if err == nil {
			l.mergeGossip(a.Gossip)
			l.notify()
		}
		done(err == nil && a.Answered)
	})
}

// suspectPeer marks a peer as suspect and notifies it, so that a slow VM can refute the suspicion.
func (l *List) suspectPeer(p *peer) {
	if p.Suspect {
		return
	}
	u := p.update
	u.Suspect = true
	l.apply(u)
	l.notify()
	l.sendProbe(p.VM.Address, p.update, suspicionTime, func(bool) {})
}

// push schedules rounds of gossip to random VMs, so that changes do not wait for the next probe.
func (l *List) push() {
	if l.pushesLeft == 0 {
		l.schedulePush()
	}
	l.pushesLeft = pushRounds
}

func (l *List) schedulePush() {
	l.Loop.After(pushDelay/2+l.jitter(pushDelay/2), func() {
		l.pushesLeft--
		if l.pushesLeft > 0 {
			l.schedulePush()
		}
		for _, p := range l.randomPeers(pushFanout, nil) {
			l.sendProbe(p.VM.Address, p.update, probeTimeout, func(bool) {})
		}
	})
}

// randomPeers returns up to n random peers that are present and not suspect, without except.
func (l *List) randomPeers(n int, except *peer) []*peer {
	var list []*peer
	for _, p := range l.peers {
		if p != except && p.present() && !p.Suspect {
			list = append(list, p)
		}
	}
	sortPeers(list)
	l.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// contactAll probes all seeds and lost VMs once.
func (l *List) contactAll() {
	for _, a := range l.contactCandidates() {
		l.contactAddress(a)
	}
}

// contact probes a seed or a lost VM, in a large fleet with a low probability, so that live VMs are found in spite of a wrong
// list or after a partition has healed.
func (l *List) contact() {
	l.Loop.After(contactInterval, l.contact)
	list := l.contactCandidates()
	if l.Rand.IntN(len(l.Snapshot())+1) < contactsPerInterval*len(list) {
		l.contactAddress(list[l.contactIndex%len(list)])
		l.contactIndex++
	}
}

func (l *List) contactAddress(a chestnutcleat.Address) {
	known := update{}
	for _, p := range l.peers {
		if p.VM.Address == a && !p.present() {
			known = p.update
		}
	}
	l.sendProbe(a, known, probeTimeout, func(bool) {})
}

// contactCandidates returns the addresses of seeds and lost VMs that belong to no present member.
func (l *List) contactCandidates() []chestnutcleat.Address {
	known := map[chestnutcleat.Address]bool{l.Self.Address: true}
	var gone []*peer
	for _, p := range l.peers {
		if p.present() {
			known[p.VM.Address] = true
		} else {
			gone = append(gone, p)
		}
	}
	var list []chestnutcleat.Address
	add := func(a chestnutcleat.Address) {
		if !known[a] {
			known[a] = true
			list = append(list, a)
		}
	}
	if l.Seeds != nil {
		for _, a := range l.Seeds() {
			add(a)
		}
	}
	sortPeers(gone)
	for _, p := range gone {
		add(p.VM.Address)
	}
	return list
}
