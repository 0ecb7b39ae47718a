package lease

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// delistedTimeout is how long a VM must be missing from the platform's list before it counts as ended; it exceeds
// staleGrantTimeout.
const delistedTimeout = 10 * time.Second

// hasEnded reports whether a witness can no longer grant leases, as it was fenced or has ended.
func (k *Keeper) hasEnded(w Witness) bool {
	id := Witness{VM: w.VM, Incarnation: w.Incarnation}
	if t := k.removedAt[id]; !t.IsZero() && time.Since(t) > staleGrantTimeout {
		return true
	}
	t := k.delistedSince[id]
	return !t.IsZero() && time.Since(t) > delistedTimeout && !k.isLive(w.VM, w.Incarnation)
}

func (k *Keeper) isLive(id chestnutcleat.VMID, inc chestnutcleat.Incarnation) bool {
	for _, v := range k.Members() {
		if v.ID == id && v.ProcessIncarnation() == inc && v.State != chestnutcleat.VMGone {
			return true
		}
	}
	return false
}

// mayLackMajority reports whether a majority of some VM's witnesses may have ended.
func (k *Keeper) mayLackMajority(now time.Time) bool {
	if k.own != nil && !k.valid(now) && now.Sub(k.lastValid) > renewalTimeout {
		return true
	}
	for _, t := range k.takeovers {
		if t.majorityAt.IsZero() && now.Sub(t.startedAt) > renewalTimeout {
			return true
		}
	}
	return false
}

// readVMList reads the platform's list of VMs and records which members are missing from it.
func (k *Keeper) readVMList() {
	if k.readingVMList {
		return
	}
	k.readingVMList = true
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
		return k.Platform.VMs(ctx)
	}, func(list []chestnutcleat.ListedVM, err error) {
		k.readingVMList = false
		if err != nil {
			clear(k.delistedSince)
			return
		}
		listed := map[chestnutcleat.VMID]bool{}
		for _, v := range list {
			listed[v.ID] = true
		}
		if !listed[k.Self.ID] {
			// A list without this VM is stale or wrong: if it were used, a partitioned VM would count all others as ended.
			clear(k.delistedSince)
			return
		}
		for _, m := range k.fleet.Members {
			w := Witness{VM: m.VM, Incarnation: m.Incarnation}
			switch {
			case listed[m.VM]:
				delete(k.delistedSince, w)
			case k.delistedSince[w].IsZero():
				k.delistedSince[w] = time.Now()
			}
		}
	})
}
