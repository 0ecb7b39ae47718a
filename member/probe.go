package member

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// tick probes one peer per interval.
func (l *List) tick() {
	now := time.Now()
	if now.Sub(l.lastTick) > 2*probeInterval+pauseMargin {
		l.emit(event.MemberPaused, "seconds", now.Sub(l.lastTick).Seconds())
	}
	l.lastTick = now
	// A timer may run slightly before the second of the wall clock starts.
	second := now.Add(probeInterval / 10).Truncate(probeInterval)
	l.Loop.After(second.Add(probeInterval).Sub(now), l.tick)
	l.expire(now)
	p := l.target(second)
	if p == nil {
		return
	}
	// The moment within the second depends on the target, so that its probes come at equal distances
	// from changing VMs and all probes of the fleet are spread.
	offset := time.Duration(xxhash.Sum64String(string(p.VM.ID)) % uint64(probeInterval))
	l.Loop.After(second.Add(offset).Sub(now), func() {
		if p.present() {
			l.probe(p)
		}
	})
}

// target returns the peer to probe. All VMs walk the ring of ids in the same second-by-second rotation,
// so that each VM is probed by one other VM every second.
func (l *List) target(now time.Time) *peer {
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

// probe asks a peer, then others about it, and then suspects it.
func (l *List) probe(p *peer) {
	start := time.Now()
	about := p.update
	l.send(p.VM.Address, about, probeTimeout, func(ok bool) {
		late := time.Since(start) > probeTimeout+pauseMargin
		if ok || late || p.update != about || !p.present() {
			return
		}
		l.relay(p, about)
	})
}

// send probes an address; about is the target as this VM knows it, if it does.
func (l *List) send(to chestnutcleat.Address, about update, timeout time.Duration, done func(bool)) {
	r := probeRequest{Gossip: l.gossip(about)}
	work := func(ctx context.Context) (probeReply, error) {
		var a probeReply
		err := l.Peers.Call(ctx, to, chestnutcleat.MethodProbe, r, &a)
		return a, err
	}
	chestnutcleat.Async(l.Loop, timeout, work, func(a probeReply, err error) {
		if err == nil {
			l.absorb(a.Gossip)
			l.compare(to, a.Gossip)
			l.notify()
		}
		// The address may belong to another VM by now.
		done(err == nil && a.Gossip.Self.VM.ID == about.VM.ID)
	})
}

// relay asks other VMs to probe a peer that did not answer.
func (l *List) relay(p *peer, about update) {
	start := time.Now()
	others := l.pick(relays, p)
	open := len(others)
	answered := false
	end := func(ok bool) {
		open--
		answered = answered || ok
		late := time.Since(start) > relayTimeout+pauseMargin
		if open > 0 || answered || late || p.update != about || !p.present() {
			return
		}
		l.accuse(p)
	}
	if open == 0 {
		open = 1
		end(false)
		return
	}
	for _, o := range others {
		l.ask(o, p, end)
	}
}

func (l *List) ask(o, p *peer, done func(bool)) {
	r := relayRequest{Gossip: l.gossip(o.update), Target: p.VM.Address, About: p.update}
	to := o.VM.Address
	work := func(ctx context.Context) (relayReply, error) {
		var a relayReply
		err := l.Peers.Call(ctx, to, chestnutcleat.MethodRelay, r, &a)
		return a, err
	}
	chestnutcleat.Async(l.Loop, relayTimeout, work, func(a relayReply, err error) {
		if err == nil {
			l.absorb(a.Gossip)
			l.notify()
		}
		done(err == nil && a.Answered)
	})
}

// accuse suspects a peer and tells it, so that a slow VM can refute.
func (l *List) accuse(p *peer) {
	if p.Suspect {
		return
	}
	u := p.update
	u.Suspect = true
	l.apply(u)
	l.notify()
	l.send(p.VM.Address, p.update, suspicionTime, func(bool) {})
}

// push sends recent changes to random VMs without waiting for the next probe.
func (l *List) push() {
	if l.rounds == 0 {
		l.pushLater()
	}
	l.rounds = pushRounds
}

func (l *List) pushLater() {
	l.Loop.After(pushDelay/2+l.jitter(pushDelay/2), func() {
		l.rounds--
		if l.rounds > 0 {
			l.pushLater()
		}
		for _, p := range l.pick(pushes, nil) {
			l.send(p.VM.Address, p.update, probeTimeout, func(bool) {})
		}
	})
}

// pick returns up to n random VMs that answer, except one.
func (l *List) pick(n int, except *peer) []*peer {
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

// contactAll asks all seeds once.
func (l *List) contactAll() {
	for _, a := range l.strangers() {
		l.greet(a)
	}
}

// contact asks one seed or lost VM, so that a wrong list or a healed cut does not hide a live VM.
func (l *List) contact() {
	l.Loop.After(contactInterval, l.contact)
	list := l.strangers()
	if l.Rand.IntN(len(l.Snapshot())+1) < contactShare*len(list) {
		l.greet(list[l.contacts%len(list)])
		l.contacts++
	}
}

func (l *List) greet(a chestnutcleat.Address) {
	about := update{}
	for _, p := range l.peers {
		if p.VM.Address == a && !p.present() {
			about = p.update
		}
	}
	l.send(a, about, probeTimeout, func(bool) {})
}

// strangers returns the addresses of seeds and lost VMs that belong to no present member.
func (l *List) strangers() []chestnutcleat.Address {
	known := map[chestnutcleat.Address]bool{l.Self.Address: true}
	var lost []*peer
	for _, p := range l.peers {
		if p.present() {
			known[p.VM.Address] = true
		} else {
			lost = append(lost, p)
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
	sortPeers(lost)
	for _, p := range lost {
		add(p.VM.Address)
	}
	return list
}
