package lease

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

func (k *Keeper) me() Member {
	return Member{VM: k.Self.ID, Incarnation: k.Self.Incarnation, Address: k.Self.Address, Caller: k.Self.Caller, Domain: k.Self.Domain}
}

// join adds this VM to the fleet object.
func (k *Keeper) join() {
	if k.joining || k.leaving != nil {
		return
	}
	k.joining = true
	end := func() { k.joining = false }
	k.read(platformTimeout, func(o chestnutcleat.Object, err error) {
		switch {
		case err != nil:
			end()
		case k.version > 0 && len(k.fleet.Members) == 1 && k.fleet.Members[0].VM == k.Self.ID:
			// An earlier run of this VM was the only one; its records are at the platform.
			end()
			k.beginTakeover(k.fleet.Members[0])
		case k.version > 0 && len(k.fleet.Members) == 1:
			k.askOnly(k.fleet.Members[0], end)
		default:
			k.addSelf(end)
		}
	})
}

func (k *Keeper) addSelf(end func()) {
	var epoch chestnutcleat.Epoch
	u := &update{}
	u.mutate = func(f *Fleet) bool {
		m := f.member(k.Self.ID)
		if k.own != nil || m != nil || len(f.Members) == 1 {
			return false
		}
		epoch = f.add(k.me())
		return true
	}
	u.done = func(ok bool) {
		end()
		if !ok {
			return
		}
		k.joined(epoch)
		if k.own != nil && len(k.fleet.Members) == 1 {
			// The fleet is new.
			k.importSlots(k.fleet.slots(k.Self.ID), nil, chestnutcleat.Transfer{})
		}
	}
	k.update(u)
}

// add gives a new member an epoch and witnesses; the first member gets all slots.
func (f *Fleet) add(m Member) chestnutcleat.Epoch {
	m.Epoch = f.next(0)
	f.fill(&m, maxWitnesses, m.Epoch, true)
	f.Members = append(f.Members, m)
	if len(f.Members) == 1 {
		for s := range f.Owners {
			f.Owners[s] = holding{m.VM, m.Epoch}
		}
	}
	return m.Epoch
}

// joined starts the lease of this VM at an epoch.
func (k *Keeper) joined(e chestnutcleat.Epoch) {
	m := k.fleet.member(k.Self.ID)
	if k.own != nil || m == nil || m.Epoch != e || m.Incarnation != k.Self.Incarnation {
		return
	}
	k.own = newHold(*m, e, newStore(e))
	k.polled = time.Now()
	k.emit(event.LeaseJoined, "epoch", e)
	k.tick()
}

// askOnly asks the only VM of the fleet to add this one, so that it knows that it needs a witness from now on.
func (k *Keeper) askOnly(m Member, end func()) {
	call(k, m.VM, MethodJoin, JoinRequest{Member: k.me()}, func(a JoinReply, err error) {
		if err == nil {
			k.read(platformTimeout, func(chestnutcleat.Object, error) {
				end()
				if n := k.fleet.member(k.Self.ID); n != nil && n.Incarnation == k.Self.Incarnation {
					k.joined(n.Epoch)
				}
			})
			return
		}
		end()
		k.list()
		if k.isGone(Witness{VM: m.VM, Incarnation: m.Incarnation}) {
			k.beginTakeover(m)
		}
	})
}

// onJoin adds a VM to the fleet of which this one is the only member.
func (k *Keeper) onJoin(r JoinRequest, done func(JoinReply)) {
	if k.own == nil || k.left {
		done(JoinReply{})
		return
	}
	k.update(&update{
		mutate: func(f *Fleet) bool {
			me := f.member(k.Self.ID)
			if me == nil || len(f.Members) != 1 {
				return false
			}
			f.add(r.Member)
			f.fill(f.member(k.Self.ID), 1, f.next(0), false)
			return true
		},
		sending: k.startGrowth,
		done: func(ok bool) {
			k.endGrowth(ok)
			done(JoinReply{Joined: ok})
		},
	})
}

// grow adds witnesses while the fleet is small; only the VM itself does so, as it must ask the larger set from then on.
func (k *Keeper) grow() {
	n := min(maxWitnesses, len(k.fleet.Members)-1)
	if len(k.own.subject.Witnesses) >= n || k.updating || k.leaving != nil {
		return
	}
	// While VMs join, a witness of another failure domain may still come.
	distinct := time.Since(k.unchanged) < calmTime
	if distinct && !k.otherDomain() {
		return
	}
	k.update(&update{
		mutate: func(f *Fleet) bool {
			me := f.member(k.Self.ID)
			if me == nil || k.own == nil || !k.own.subject.same(me) {
				return false
			}
			before := len(me.Witnesses)
			f.fill(me, maxWitnesses, f.next(0), distinct)
			return len(me.Witnesses) > before
		},
		sending: k.startGrowth,
		done:    k.endGrowth,
	})
}

// otherDomain reports whether a VM in a failure domain without a witness could become one.
func (k *Keeper) otherDomain() bool {
	me := &k.own.subject
	for _, m := range k.fleet.Members {
		if m.VM != me.VM && k.fleet.domainUse(me, m.Domain) == 0 {
			return true
		}
	}
	return false
}

func (k *Keeper) startGrowth(f *Fleet) {
	if k.own == nil {
		return
	}
	k.own.previous = k.own.subject.Witnesses
	k.own.grown = time.Now()
	k.own.growing = f.member(k.Self.ID).Witnesses
}

func (k *Keeper) endGrowth(bool) {
	if k.own != nil {
		k.own.growing = nil
		k.renew(k.own)
	}
}
