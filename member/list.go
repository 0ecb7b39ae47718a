package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	probeInterval = time.Second
	// probeTimeout and relayTimeout together with suspicion and the interval give a detection within about 3 s.
	probeTimeout  = 250 * time.Millisecond
	relayTimeout  = 400 * time.Millisecond
	suspicionTime = time.Second
	relays        = 3
	// pushDelay gathers changes before they are pushed to pushes random VMs; probes alone would take seconds
	// to reach 400 VMs.
	pushDelay = 100 * time.Millisecond
	pushes    = 3
	// pushRounds is the number of pushes after a change; one leaves about a tenth of the VMs to the probes.
	pushRounds = 2
	// contactInterval is how often one seed or lost VM is asked, so that two halves of a fleet find each other.
	contactInterval = 2 * time.Second
	// contactShare is about how many VMs of a large fleet ask one seed or lost VM per contactInterval; if all do, that takes
	// a tenth of the traffic of the fleet while one VM is gone.
	contactShare = 4
	// syncInterval bounds the exchanges of versions of a small fleet, slowSync those of a large one.
	syncInterval = 2 * time.Second
	slowSync     = 8 * time.Second
	largeFleet   = 50
	// pauseMargin is the lateness of a timer that is taken as a pause of this VM.
	pauseMargin = 500 * time.Millisecond
	// goneRetention is how long a VM that is gone is remembered, so that old news do not bring it back.
	goneRetention = 24 * time.Hour
	// messageBytes keeps a gossip message within one network packet.
	messageBytes = 1400
	// lastingTime is the shortest life of an item that takes part in anti-entropy; others are replaced by newer ones soon.
	lastingTime = time.Minute
)

// List is the membership as this VM sees it.
type List struct {
	// Self is this VM; the list raises its incarnation when others declared it gone.
	Self  chestnutcleat.VM
	Loop  chestnutcleat.Loop
	Peers chestnutcleat.Peers
	// Seeds returns the addresses of the settings and of the platform's list.
	Seeds    func() []chestnutcleat.Address
	Rand     *rand.Rand
	Observer chestnutcleat.Observer
	// OnChange runs after the members changed.
	OnChange func()
	// OnItem runs when an item got a higher version.
	OnItem func(name string, data []byte)
	// OnRejoin runs after others declared this VM gone and its incarnation was raised.
	OnRejoin func(chestnutcleat.VM)

	count uint64
	sends int
	peers map[chestnutcleat.VMID]*peer
	items map[string]*item
	// fresh and news are the queues of peers whose state is still to be sent.
	fresh    []*peer
	news     []*peer
	snapshot atomic.Pointer[[]chestnutcleat.VM]
	changed  bool
	lastTick time.Time
	lastSync time.Time
	contacts int
	// rounds is the number of pushes that are still to be made.
	rounds int
	// checksum is valid unless stale is set.
	checksum uint64
	stale    bool
}

// Run starts the timers.
func (l *List) Run() {
	l.init()
	l.Self.State = chestnutcleat.VMLive
	l.sends = l.maxSends()
	l.stale = true
	l.publish()
	l.lastTick = time.Now()
	l.contactAll()
	l.Loop.After(l.jitter(probeInterval), l.tick)
	l.Loop.After(l.jitter(contactInterval), l.contact)
}

func (l *List) init() {
	if l.peers == nil {
		l.peers = map[chestnutcleat.VMID]*peer{}
		l.items = map[string]*item{}
	}
}

// jitter returns a random part of d, so that VMs do not act at the same moment.
func (l *List) jitter(d time.Duration) time.Duration {
	return time.Duration(l.Rand.Int64N(int64(d)))
}

// Members returns the live and leaving VMs with this one, ordered by id.
func (l *List) Members() []chestnutcleat.VM {
	list := []chestnutcleat.VM{l.Self}
	for _, p := range l.peers {
		if p.present() {
			list = append(list, p.VM)
		}
	}
	slices.SortFunc(list, func(a, b chestnutcleat.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Live returns the members that are not leaving.
func (l *List) Live() []chestnutcleat.VM {
	return slices.DeleteFunc(l.Members(), func(v chestnutcleat.VM) bool { return v.State == chestnutcleat.VMLeaving })
}

// Snapshot returns the members for goroutines other than the control goroutine; the slice must not be changed.
func (l *List) Snapshot() []chestnutcleat.VM {
	if s := l.snapshot.Load(); s != nil {
		return *s
	}
	return nil
}

// Leave marks this VM as leaving.
func (l *List) Leave() {
	l.init()
	l.Self.State = chestnutcleat.VMLeaving
	l.sends = l.maxSends()
	l.stale = true
	l.changed = true
	l.notify()
	l.push()
}

func (l *List) publish() {
	m := l.Members()
	l.snapshot.Store(&m)
}

// notify tells others in this VM about changes.
func (l *List) notify() {
	if !l.changed {
		return
	}
	l.changed = false
	l.publish()
	if l.OnChange != nil {
		l.OnChange()
	}
}

// maxSends returns how many messages carry one change.
func (l *List) maxSends() int {
	n := len(l.Snapshot()) + 1
	return int(math.Ceil(3 * math.Log2(float64(max(n, 2)))))
}

// self returns the update about this VM.
func (l *List) self() update { return update{VM: l.Self, Count: l.count} }

// apply merges an update and reports news to the rest of the VM.
func (l *List) apply(u update) {
	if u.VM.ID == l.Self.ID {
		l.refute(u)
		return
	}
	if u.VM.ID == "" {
		return
	}
	p, ok := l.peers[u.VM.ID]
	if !ok {
		p = &peer{update: u}
		l.peers[u.VM.ID] = p
		l.note(p, update{})
		l.spread(p)
		return
	}
	before := p.update
	p.update = merge(before, u)
	if p.update != before {
		l.note(p, before)
		l.spread(p)
	}
}

// learn merges an update that a VM gave in answer to a request for all that it knows.
// A VM that was unknown here is no news to others, so it is not sent on.
func (l *List) learn(u update) {
	if _, ok := l.peers[u.VM.ID]; ok || u.VM.ID == l.Self.ID || u.VM.ID == "" {
		l.apply(u)
		return
	}
	p := &peer{update: u}
	l.peers[u.VM.ID] = p
	l.note(p, update{})
}

// spread sends the state of a peer on to others.
func (l *List) spread(p *peer) {
	l.announce(p)
	l.push()
}

// note reacts to a changed peer.
func (l *List) note(p *peer, before update) {
	l.stale = true
	p.since = time.Now()
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	fresh := before.VM.Incarnation != p.VM.Incarnation || before.VM.ID == ""
	switch {
	case !p.present():
		if before.VM.ID != "" {
			l.emit(event.MemberGone, "member", p.VM.ID, "incarnation", p.VM.Incarnation)
		}
	case p.Suspect:
		l.emit(event.MemberSuspected, "member", p.VM.ID)
		l.suspect(p)
	case fresh:
		l.emit(event.MemberJoined, "member", p.VM.ID, "incarnation", p.VM.Incarnation)
	}
	if before.VM != p.VM {
		l.changed = true
	}
}

// suspect declares a peer gone unless it refutes in time.
func (l *List) suspect(p *peer) {
	start := time.Now()
	about := p.update
	p.timer = l.Loop.After(suspicionTime, func() {
		if p.update != about {
			return
		}
		if time.Since(start) > suspicionTime+pauseMargin {
			// This VM was paused, so the refutation may still be on its way.
			l.suspect(p)
			return
		}
		u := p.update
		u.VM.State, u.Suspect = chestnutcleat.VMGone, false
		l.apply(u)
		l.notify()
	})
}

// refute answers wrong news about this VM.
func (l *List) refute(u update) {
	switch {
	case u.VM.Incarnation > l.Self.Incarnation, u.VM.Incarnation == l.Self.Incarnation && u.VM.State == chestnutcleat.VMGone:
		l.Self.Incarnation = u.VM.Incarnation + 1
		l.count = 0
		l.changed = true
		l.emit(event.MemberRejoined, "incarnation", l.Self.Incarnation)
		if l.OnRejoin != nil {
			l.OnRejoin(l.Self)
		}
	case u.VM.Incarnation == l.Self.Incarnation && u.Suspect && u.Count >= l.count:
		l.count = u.Count + 1
		l.emit(event.MemberRefuted, "count", l.count)
	default:
		return
	}
	l.sends = l.maxSends()
	l.stale = true
	l.push()
}

func (l *List) emit(id chestnutcleat.EventID, attributes ...any) {
	if l.Observer != nil {
		l.Observer.Emit(id, attributes...)
	}
}
