package lease

import (
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// leaseDuration is how long a witness grants a lease.
	leaseDuration = 2 * time.Second
	// usable is the lease duration less 10% for clock drift, counted by the holder from the sending of its request.
	usable = leaseDuration * 9 / 10
	// renewInterval is the time between renewals.
	renewInterval = 500 * time.Millisecond
	// maxJump is the difference between wall clock and monotonic clock that counts as a suspended VM; it is the drift margin.
	maxJump = leaseDuration - usable
	// settleTime is when the grants of a fenced or restarted witness have ended: it grants for at most
	// leaseDuration after it was last known as a member, each for leaseDuration, plus 10% drift.
	settleTime = 2 * leaseDuration * 11 / 10
	// lapseTime is how long a lease may be without renewal before its witnesses take the VM over.
	lapseTime = leaseDuration + time.Second
	// scanInterval is the time between looks for VMs to take over.
	scanInterval = 250 * time.Millisecond
	// retryInterval is the time between attempts within a takeover.
	retryInterval = 100 * time.Millisecond
	// callTimeout bounds a request to another VM.
	callTimeout = 500 * time.Millisecond
	// platformTimeout is above the slowest platform response that is still waited for.
	platformTimeout = 10 * time.Second
)

// Keeper is the ownership state of a VM; it is used only in the control goroutine.
type Keeper struct {
	Self     chestnutcleat.VM
	Loop     chestnutcleat.Loop
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	// Members returns the live and leaving VMs as gossip sees them.
	Members  func() []chestnutcleat.VM
	States   map[chestnutcleat.Kind]chestnutcleat.Owned
	Observer chestnutcleat.Observer
	Rand     *rand.Rand
	// Holder returns the VM that says that it holds a lost VM's slots as temporary owner; nil means that none is known.
	Holder func(lost chestnutcleat.VMID) (chestnutcleat.Place, bool)

	started time.Time
	fleet   *Fleet
	version chestnutcleat.Version
	own     *hold
	leased  bool
	lostAt  time.Time
	// validAt is when the own lease was last seen valid.
	validAt time.Time
	leaving func()
	left    bool

	grants  map[chestnutcleat.VMID]*grant
	learned map[chestnutcleat.VMID]time.Time
	gone    map[Witness]time.Time
	// delisted is since when the platform's list lacks a member.
	delisted map[Witness]time.Time
	listing  bool
	// readSent is when the last platform read was sent that showed this VM as a member.
	readSent time.Time
	polling  bool
	polled   time.Time

	slots     [chestnutcleat.SlotCount]slotState
	staged    map[chestnutcleat.Slot]*stage
	temporary map[chestnutcleat.VMID]*hold
	takeovers map[chestnutcleat.VMID]*takeover
	waiting   []waiting

	updates  []*update
	updating bool
	joining  bool
	moving   bool
	// settled is the view for which no slot has to move.
	settled   string
	unchanged time.Time
	journal   journal
}

// slotState tells what this VM holds of a slot.
type slotState uint8

const (
	slotNone slotState = iota
	slotImporting
	slotReady
	slotMoving
)

// waiting is a request for a slot that is in transfer.
type waiting struct {
	key   chestnutcleat.Key
	until time.Time
	done  func(error)
}

// Start begins joining, renewing and watching over other VMs.
func (k *Keeper) Start() {
	k.started = time.Now()
	k.grants = map[chestnutcleat.VMID]*grant{}
	k.learned = map[chestnutcleat.VMID]time.Time{}
	k.gone = map[Witness]time.Time{}
	k.delisted = map[Witness]time.Time{}
	k.validAt = k.started
	k.staged = map[chestnutcleat.Slot]*stage{}
	k.temporary = map[chestnutcleat.VMID]*hold{}
	k.takeovers = map[chestnutcleat.VMID]*takeover{}
	k.every(renewInterval, k.tick)
	k.every(scanInterval, k.scan)
	k.tick()
}

func (k *Keeper) every(d time.Duration, f func()) {
	k.Loop.After(d, func() {
		if k.left {
			return
		}
		f()
		k.every(d, f)
	})
}

// tick renews the leases and starts what is due.
func (k *Keeper) tick() {
	now := time.Now()
	if k.own == nil && k.leaving != nil {
		k.finish()
		return
	}
	if k.stuck(now) {
		k.list()
	}
	if k.own == nil {
		k.join()
		return
	}
	k.renew(k.own)
	for _, h := range k.temporary {
		k.renew(h)
	}
	ok := k.valid(now)
	if ok != k.leased {
		k.leased = ok
		id := event.LeaseRegained
		if !ok {
			id = event.LeaseExpired
		}
		k.emit(id, "epoch", k.own.epoch)
	}
	if !ok || k.own.alone() {
		k.poll()
	}
	if ok {
		k.validAt = now
		k.grow()
		k.rebalance()
	}
	k.expireAppends(now)
	k.wake()
}

// emit reports an event.
func (k *Keeper) emit(id chestnutcleat.EventID, attributes ...any) {
	if k.Observer != nil {
		k.Observer.Emit(id, attributes...)
	}
}

// valid reports whether this VM's own lease is valid.
func (k *Keeper) valid(now time.Time) bool {
	if k.own == nil {
		return false
	}
	if k.own.alone() {
		return fresh(k.polled, now, leaseDuration+time.Second)
	}
	return k.own.valid(now)
}

// fresh reports whether less than d has passed since t on both clocks.
func fresh(t, now time.Time, d time.Duration) bool {
	if t.IsZero() {
		return false
	}
	mono, wall := now.Sub(t), now.Round(0).Sub(t.Round(0))
	return mono < d && wall < d && (wall-mono).Abs() < maxJump
}

// serves reports whether this VM may act as the owner of a slot now.
func (k *Keeper) serves(s chestnutcleat.Slot) bool {
	if k.fleet == nil || k.slots[s] != slotReady {
		return false
	}
	now := time.Now()
	if !k.valid(now) {
		return false
	}
	owner := k.fleet.Owners[s].VM
	if owner == k.Self.ID {
		return true
	}
	h := k.temporary[owner]
	return h != nil && h.valid(now)
}

// Check returns nil if this VM owns the key's slot and its lease is valid now, else a *chestnutcleat.NotOwner.
func (k *Keeper) Check(key chestnutcleat.Key) error {
	s := key.Slot()
	if k.serves(s) {
		return nil
	}
	return &chestnutcleat.NotOwner{Key: key, Place: k.Place(s)}
}

// Wait is Check that waits while the key's slot is in transfer to or from this VM, at most 500 ms.
func (k *Keeper) Wait(key chestnutcleat.Key, done func(error)) {
	s := k.slots[key.Slot()]
	if s != slotMoving && s != slotImporting {
		done(k.Check(key))
		return
	}
	k.waiting = append(k.waiting, waiting{key: key, until: time.Now().Add(callTimeout), done: done})
}

// wake answers the waiting requests whose slots are no longer in transfer.
func (k *Keeper) wake() {
	list := k.waiting
	k.waiting = nil
	for _, w := range list {
		s := k.slots[w.key.Slot()]
		if (s == slotMoving || s == slotImporting) && time.Now().Before(w.until) {
			k.waiting = append(k.waiting, w)
			continue
		}
		w.done(k.Check(w.key))
	}
}

// Place returns the owner of a slot as far as this VM knows.
func (k *Keeper) Place(s chestnutcleat.Slot) chestnutcleat.Place {
	if k.fleet == nil {
		return chestnutcleat.Place{}
	}
	o := k.fleet.Owners[s]
	if h := k.temporary[o.VM]; h != nil {
		return chestnutcleat.Place{VM: k.Self.ID, Address: k.Self.Address, Caller: k.Self.Caller, Epoch: h.epoch}
	}
	if k.Holder != nil {
		if p, ok := k.Holder(o.VM); ok {
			return p
		}
	}
	m := k.fleet.member(o.VM)
	if m == nil {
		return chestnutcleat.Place{}
	}
	return chestnutcleat.Place{VM: m.VM, Address: m.Address, Caller: m.Caller, Epoch: o.Epoch}
}

// Temporary reports whether this VM holds a slot only until the platform can record the takeover.
func (k *Keeper) Temporary(s chestnutcleat.Slot) bool {
	return k.fleet != nil && k.slots[s] != slotNone && k.temporary[k.fleet.Owners[s].VM] != nil
}

// Epoch returns the epoch of this VM's lease, zero before it has joined.
func (k *Keeper) Epoch() chestnutcleat.Epoch {
	if k.own == nil {
		return 0
	}
	return k.own.epoch
}
