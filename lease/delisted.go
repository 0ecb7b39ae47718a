package lease

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// delistedTime is how long the platform's list must lack a VM before the VM counts as ended. It is above settleTime.
const delistedTime = 10 * time.Second

// isGone reports whether a witness grants nothing any more: it was fenced, or it has ended.
func (k *Keeper) isGone(w Witness) bool {
	id := Witness{VM: w.VM, Incarnation: w.Incarnation}
	if t := k.gone[id]; !t.IsZero() && time.Since(t) > settleTime {
		return true
	}
	t := k.delisted[id]
	return !t.IsZero() && time.Since(t) > delistedTime && !k.live(w.VM, w.Incarnation)
}

func (k *Keeper) live(id chestnutcleat.VMID, inc chestnutcleat.Incarnation) bool {
	for _, v := range k.Members() {
		if v.ID == id && v.Process() == inc && v.State != chestnutcleat.VMGone {
			return true
		}
	}
	return false
}

// stuck reports whether a majority of some VM's witnesses may have ended.
func (k *Keeper) stuck(now time.Time) bool {
	if k.own != nil && !k.valid(now) && now.Sub(k.validAt) > lapseTime {
		return true
	}
	for _, t := range k.takeovers {
		if t.promised.IsZero() && now.Sub(t.began) > lapseTime {
			return true
		}
	}
	return false
}

// list reads the platform's list of VMs and notes which members it lacks.
func (k *Keeper) list() {
	if k.listing {
		return
	}
	k.listing = true
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
		return k.Platform.VMs(ctx)
	}, func(list []chestnutcleat.ListedVM, err error) {
		k.listing = false
		if err != nil {
			clear(k.delisted)
			return
		}
		listed := map[chestnutcleat.VMID]bool{}
		for _, v := range list {
			listed[v.ID] = true
		}
		if !listed[k.Self.ID] {
			// A list that lacks this VM is too old or wrong: with it, a VM that is cut off would count all others as ended.
			clear(k.delisted)
			return
		}
		for _, m := range k.fleet.Members {
			w := Witness{VM: m.VM, Incarnation: m.Incarnation}
			switch {
			case listed[m.VM]:
				delete(k.delisted, w)
			case k.delisted[w].IsZero():
				k.delisted[w] = time.Now()
			}
		}
	})
}
