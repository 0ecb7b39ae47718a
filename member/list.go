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
	// With probeTimeout, relayTimeout, suspicionTime and probeInterval, a failure is detected within about 3 s.
	probeTimeout   = 250 * time.Millisecond
	relayTimeout   = 400 * time.Millisecond
	suspicionTime  = time.Second
	indirectProbes = 3
	// pushDelay batches changes before they are pushed to pushFanout random VMs; probes alone would take seconds
	// to reach 400 VMs.
	pushDelay  = 100 * time.Millisecond
	pushFanout = 3
	// pushRounds is the number of rounds of pushes after a change; with a single one, about a tenth of the VMs would learn of
	// the change only from probes.
	pushRounds = 2
	// contactInterval is how often a VM may contact a seed or a lost VM, so that the sides of a healed partition find each
	// other.
	contactInterval = 2 * time.Second
	// contactsPerInterval is about how many VMs of a large fleet contact a given seed or lost VM per contactInterval; if all
	// did, it would take a tenth of the fleet's traffic while one VM is gone.
	contactsPerInterval = 4
	// syncInterval is the least time between anti-entropy syncs by a VM; largeFleetSyncInterval applies with more than
	// largeFleetSize other VMs.
	syncInterval           = 2 * time.Second
	largeFleetSyncInterval = 8 * time.Second
	largeFleetSize         = 50
	// pauseMargin is how late a timer must fire for this VM to count as paused.
	pauseMargin = 500 * time.Millisecond
	// goneRetention is how long a VM that is gone is kept, so that outdated gossip does not bring it back.
	goneRetention = 24 * time.Hour
	// messageBytes is the size limit of a gossip message, so that it fits into one network packet.
	messageBytes = 1400
	// minAntiEntropyLifetime is the remaining lifetime above which an item takes part in anti-entropy; items with a shorter one
	// are soon replaced.
	minAntiEntropyLifetime = time.Minute
)

// List is this VM's view of the membership and the items.
type List struct {
	// Self is this VM; its incarnation is raised when others have declared it gone.
	Self  chestnutcleat.VM
	Loop  chestnutcleat.Loop
	Peers chestnutcleat.Peers
	// Seeds returns the addresses from the settings and from the platform's list.
	Seeds    func() []chestnutcleat.Address
	Rand     *rand.Rand
	Observer chestnutcleat.Observer
	// OnChange runs after the members have changed.
	OnChange func()
	// OnItem runs when an item has been added or got a higher version.
	OnItem func(name string, data []byte)
	// OnRejoin runs after this VM's incarnation has been raised because others had declared it gone.
	OnRejoin func(chestnutcleat.VM)

	refutations uint64
	sends       int
	peers       map[chestnutcleat.VMID]*peer
	items       map[string]*item
	// highPriority and lowPriority queue the peers whose state is still to be sent; a peer moves to the second one after half
	// of its sends.
	highPriority []*peer
	lowPriority  []*peer
	snapshot     atomic.Pointer[[]chestnutcleat.VM]
	changed      bool
	lastTick     time.Time
	lastSync     time.Time
	contactIndex int
	// pushesLeft is the number of rounds of pushes still to be made.
	pushesLeft int
	// checksum is valid unless checksumStale is set.
	checksum      uint64
	checksumStale bool
}

// Start marks this VM as live, contacts the seeds and starts the timers.
func (l *List) Start() {
	l.init()
	l.Self.State = chestnutcleat.VMLive
	l.sends = l.maxSends()
	l.checksumStale = true
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

// jitter returns a random duration below d, so that VMs do not act at the same moment.
func (l *List) jitter(d time.Duration) time.Duration {
	return time.Duration(l.Rand.Int64N(int64(d)))
}

// Members returns the VMs that are not gone, including this one, ordered by id.
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

// Leave marks this VM as leaving and announces that to others.
func (l *List) Leave() {
	l.init()
	l.Self.State = chestnutcleat.VMLeaving
	l.sends = l.maxSends()
	l.checksumStale = true
	l.changed = true
	l.notify()
	l.push()
}

func (l *List) publish() {
	m := l.Members()
	l.snapshot.Store(&m)
}

// notify publishes changed members within this VM.
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

// maxSends returns how many messages carry each change; it grows with the logarithm of the fleet size.
func (l *List) maxSends() int {
	n := len(l.Snapshot()) + 1
	return int(math.Ceil(3 * math.Log2(float64(max(n, 2)))))
}

// selfUpdate returns the update that describes this VM.
func (l *List) selfUpdate() update { return update{VM: l.Self, Refutations: l.refutations} }

// apply merges an update and disseminates any change.
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
		l.handleChange(p, update{})
		l.disseminate(p)
		return
	}
	before := p.update
	p.update = mergeUpdates(before, u)
	if p.update != before {
		l.handleChange(p, before)
		l.disseminate(p)
	}
}

// applySynced merges an update from a sync reply. A VM that is new here is already known to others, so it is not disseminated.
func (l *List) applySynced(u update) {
	if _, ok := l.peers[u.VM.ID]; ok || u.VM.ID == l.Self.ID || u.VM.ID == "" {
		l.apply(u)
		return
	}
	p := &peer{update: u}
	l.peers[u.VM.ID] = p
	l.handleChange(p, update{})
}

// disseminate queues a peer's state and pushes it to other VMs.
func (l *List) disseminate(p *peer) {
	l.enqueueChange(p)
	l.push()
}

// handleChange updates the timers, emits the events and sets the flags for a changed peer.
func (l *List) handleChange(p *peer, before update) {
	l.checksumStale = true
	p.changedAt = time.Now()
	if p.suspicionTimer != nil {
		p.suspicionTimer.Stop()
		p.suspicionTimer = nil
	}
	joined := before.VM.Incarnation != p.VM.Incarnation || before.VM.ID == ""
	switch {
	case !p.present():
		if before.VM.ID != "" {
			l.emit(event.MemberGone, "member", p.VM.ID, "incarnation", p.VM.Incarnation)
		}
	case p.Suspect:
		l.emit(event.MemberSuspected, "member", p.VM.ID)
		l.startSuspicionTimer(p)
	case joined:
		l.emit(event.MemberJoined, "member", p.VM.ID, "incarnation", p.VM.Incarnation)
	}
	if before.VM != p.VM {
		l.changed = true
	}
}

// startSuspicionTimer declares a peer gone after suspicionTime unless it refutes the suspicion.
func (l *List) startSuspicionTimer(p *peer) {
	start := time.Now()
	suspected := p.update
	p.suspicionTimer = l.Loop.After(suspicionTime, func() {
		if p.update != suspected {
			return
		}
		if time.Since(start) > suspicionTime+pauseMargin {
			// This VM was paused, so the refutation may still be on its way.
			l.startSuspicionTimer(p)
			return
		}
		u := p.update
		u.VM.State, u.Suspect = chestnutcleat.VMGone, false
		l.apply(u)
		l.notify()
	})
}

// refute overrides an update that has this VM as suspect or gone.
func (l *List) refute(u update) {
	switch {
	case u.VM.Incarnation > l.Self.Incarnation, u.VM.Incarnation == l.Self.Incarnation && u.VM.State == chestnutcleat.VMGone:
		l.Self.Incarnation = u.VM.Incarnation + 1
		l.refutations = 0
		l.changed = true
		l.emit(event.MemberRejoined, "incarnation", l.Self.Incarnation)
		if l.OnRejoin != nil {
			l.OnRejoin(l.Self)
		}
	case u.VM.Incarnation == l.Self.Incarnation && u.Suspect && u.Refutations >= l.refutations:
		l.refutations = u.Refutations + 1
		l.emit(event.MemberRefuted, "count", l.refutations)
	default:
		return
	}
	l.sends = l.maxSends()
	l.checksumStale = true
	l.push()
}

func (l *List) emit(id chestnutcleat.EventID, attributes ...any) {
	if l.Observer != nil {
		l.Observer.Emit(id, attributes...)
	}
}
