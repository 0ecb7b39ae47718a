package lease

import (
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// leaseDuration is how long a grant by a witness lasts.
	leaseDuration = 2 * time.Second
	// holderLeaseDuration is leaseDuration less 10% for clock drift; the holder counts it from when it sent the request.
	holderLeaseDuration = leaseDuration * 9 / 10
	// renewInterval is the time between renewals.
	renewInterval = 500 * time.Millisecond
	// maxClockDivergence is the difference between the wall clock and the monotonic clock from which the VM counts as
	// having been suspended; it equals the drift margin.
	maxClockDivergence = leaseDuration - holderLeaseDuration
	// staleGrantTimeout is the time after which all grants of a fenced or restarted witness have expired: it grants for at
	// most leaseDuration after it was last known as a member, each grant lasts leaseDuration, and 10% is added for drift.
	staleGrantTimeout = 2 * leaseDuration * 11 / 10
	// renewalTimeout is how long a lease may go without renewal before its witnesses take over the VM's slots.
	renewalTimeout = leaseDuration + time.Second
	// scanInterval is the time between scans for VMs to take over.
	scanInterval = 250 * time.Millisecond
	// retryInterval is the time between attempts within a takeover.
	retryInterval = 100 * time.Millisecond
	// callTimeout bounds a request to another VM.
	callTimeout = 500 * time.Millisecond
	// platformTimeout bounds a platform request; it exceeds the slowest response that must still be accepted.
	platformTimeout = 10 * time.Second
)

// Keeper manages the lease and the slots of a VM; it must be used only in the control goroutine.
type Keeper struct {
	Self     chestnutcleat.VM
	Loop     chestnutcleat.Loop
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	// Members returns the live and leaving VMs according to gossip.
	Members func() []chestnutcleat.VM
	// States holds the state of each kind that moves with the slots.
	States   map[chestnutcleat.Kind]chestnutcleat.SlotState
	Observer chestnutcleat.Observer
	Rand     *rand.Rand
	// TemporaryOwner returns the VM that announces itself as temporary owner of a lost VM's slots; a nil func means that none is
	// known.
	TemporaryOwner func(lost chestnutcleat.VMID) (chestnutcleat.OwnerLocation, bool)

	started  time.Time
	fleet    *Fleet
	version  chestnutcleat.Version
	own      *heldLease
	wasValid bool
	lostAt   time.Time
	// lastValid is when this VM's own lease was last found valid.
	lastValid time.Time
	// onLeft is set while this VM is leaving or has left; it runs when the VM has left.
	onLeft func()
	left   bool

	grants       map[chestnutcleat.VMID]*grant
	witnessSince map[chestnutcleat.VMID]time.Time
	removedAt    map[Witness]time.Time
	// delistedSince is when a member was first missing from the platform's list.
	delistedSince map[Witness]time.Time
	readingVMList bool
	// memberReadSentAt is when the last platform read that showed this VM as a member was sent.
	memberReadSentAt time.Time
	polling          bool
	polledAt         time.Time

	slots     [chestnutcleat.SlotCount]slotState
	incoming  map[chestnutcleat.Slot]*incomingHandover
	temporary map[chestnutcleat.VMID]*heldLease
	takeovers map[chestnutcleat.VMID]*takeover
	waiting   []waitingRequest

	updates     []*update
	updating    bool
	joining     bool
	handingOver bool
	// balancedView identifies the last fleet version and set of live VMs for which no slot had to move.
	balancedView   string
	fleetChangedAt time.Time
	journal        journal
}

// slotState is the local state of a slot.
type slotState uint8

const (
	slotNone slotState = iota
	slotImporting
	slotReady
	slotMoving
)

// waitingRequest is a request for a slot that is in transfer.
type waitingRequest struct {
	key   chestnutcleat.Key
	until time.Time
	done  func(error)
}

// Start starts joining the fleet, renewing leases and scanning for VMs to take over.
func (k *Keeper) Start() {
	k.started = time.Now()
	k.grants = map[chestnutcleat.VMID]*grant{}
	k.witnessSince = map[chestnutcleat.VMID]time.Time{}
	k.removedAt = map[Witness]time.Time{}
	k.delistedSince = map[Witness]time.Time{}
	k.lastValid = k.started
	k.incoming = map[chestnutcleat.Slot]*incomingHandover{}
	k.temporary = map[chestnutcleat.VMID]*heldLease{}
	k.takeovers = map[chestnutcleat.VMID]*takeover{}
	k.every(renewInterval, k.tick)
	k.every(scanInterval, k.scanForTakeovers)
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

// tick renews the leases and starts joins, reads, rebalancing and departure when they are due.
func (k *Keeper) tick() {
	now := time.Now()
	if k.own == nil && k.onLeft != nil {
		k.finishLeaving()
		return
	}
	if k.mayLackMajority(now) {
		k.readVMList()
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
	if ok != k.wasValid {
		k.wasValid = ok
		id := event.LeaseGranted
		if !ok {
			id = event.LeaseExpired
		}
		k.emit(id, "epoch", k.own.epoch)
	}
	if !ok || k.own.withoutWitnesses() {
		k.poll()
	}
	if ok {
		k.lastValid = now
		k.growWitnesses()
		k.rebalance()
	}
	k.expireAppends(now)
	k.resumeWaiting()
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
	if k.own.withoutWitnesses() {
		return elapsedUnder(k.polledAt, now, leaseDuration+time.Second)
	}
	return k.own.valid(now)
}

// elapsedUnder reports whether less than d has passed since t on both the monotonic and the wall clock, and the clocks
// agree.
func elapsedUnder(t, now time.Time, d time.Duration) bool {
	if t.IsZero() {
		return false
	}
	mono, wall := now.Sub(t), now.Round(0).Sub(t.Round(0))
	return mono < d && wall < d && (wall-mono).Abs() < maxClockDivergence
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
	return &chestnutcleat.NotOwner{Key: key, Place: k.Owner(s)}
}

// CheckAfterTransfer is like Check, but first waits while the key's slot is in transfer to or from this VM, at most callTimeout.
func (k *Keeper) CheckAfterTransfer(key chestnutcleat.Key, done func(error)) {
	s := k.slots[key.Slot()]
	if s != slotMoving && s != slotImporting {
		done(k.Check(key))
		return
	}
	k.waiting = append(k.waiting, waitingRequest{key: key, until: time.Now().Add(callTimeout), done: done})
}

// resumeWaiting answers the waiting requests whose slots are no longer in transfer or whose time is up.
func (k *Keeper) resumeWaiting() {
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

// Owner returns the owner of a slot as far as this VM knows.
func (k *Keeper) Owner(s chestnutcleat.Slot) chestnutcleat.OwnerLocation {
	if k.fleet == nil {
		return chestnutcleat.OwnerLocation{}
	}
	o := k.fleet.Owners[s]
	if h := k.temporary[o.VM]; h != nil {
		return chestnutcleat.OwnerLocation{VM: k.Self.ID, Address: k.Self.Address, CallerAddress: k.Self.CallerAddress, Epoch: h.epoch}
	}
	if k.TemporaryOwner != nil {
		if p, ok := k.TemporaryOwner(o.VM); ok {
			return p
		}
	}
	m := k.fleet.member(o.VM)
	if m == nil {
		return chestnutcleat.OwnerLocation{}
	}
	return chestnutcleat.OwnerLocation{VM: m.VM, Address: m.Address, CallerAddress: m.Caller, Epoch: o.Epoch}
}

// IsTemporaryOwner reports whether this VM is only the temporary owner of a slot, until the platform can record the takeover.
func (k *Keeper) IsTemporaryOwner(s chestnutcleat.Slot) bool {
	return k.fleet != nil && k.slots[s] != slotNone && k.temporary[k.fleet.Owners[s].VM] != nil
}

// Epoch returns the epoch of this VM's lease, zero before it has joined.
func (k *Keeper) Epoch() chestnutcleat.Epoch {
	if k.own == nil {
		return 0
	}
	return k.own.epoch
}
