package member

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// syncTimeout bounds each request of a sync.
const syncTimeout = time.Second

// syncIfDifferent syncs with a VM whose checksum differs, at a limited rate.
func (l *List) syncIfDifferent(to chestnutcleat.Address, g gossip) {
	if g.Checksum == l.currentChecksum() {
		return
	}
	interval := syncInterval
	if len(l.peers) > largeFleetSize {
		interval = largeFleetSyncInterval
	}
	if !l.lastSync.IsZero() && time.Since(l.lastSync) < interval {
		return
	}
	l.lastSync = time.Now()
	l.sync(to)
}

// sync exchanges digests with a VM, and then the updates and items that either side lacks.
func (l *List) sync(to chestnutcleat.Address) {
	r := probeRequest{Gossip: l.nextGossip(update{}), Sync: true}
	for _, u := range l.allUpdates() {
		r.Members = append(r.Members, digestOf(u))
	}
	for _, i := range l.items {
		if i.antiEntropy {
			r.Items = append(r.Items, digestEntry{Name: i.Name, Version: i.Version})
		}
	}
	l.exchange(to, r, func(a probeReply) {
		if len(a.WantItems) == 0 && len(a.WantMembers) == 0 {
			return
		}
		r := probeRequest{Gossip: l.nextGossip(update{})}
		for _, name := range a.WantItems {
			if i := l.items[name]; i != nil {
				r.Gossip.Items = append(r.Gossip.Items, *i)
			}
		}
		for _, id := range a.WantMembers {
			if p := l.peers[chestnutcleat.VMID(id)]; p != nil {
				r.Gossip.Updates = append(r.Gossip.Updates, p.update)
			}
		}
		l.exchange(to, r, func(probeReply) {})
	})
}

func (l *List) exchange(to chestnutcleat.Address, r probeRequest, done func(probeReply)) {
	work := func(ctx context.Context) (probeReply, error) {
		var a probeReply
		err := l.Peers.Call(ctx, to, chestnutcleat.MethodProbe, r, &a)
		return a, err
	}
	chestnutcleat.Async(l.Loop, syncTimeout, work, func(a probeReply, err error) {
		if err != nil {
			return
		}
		l.mergeGossip(a.Gossip)
		for _, u := range a.Updates {
			l.applySynced(u)
		}
		for _, i := range a.Items {
			l.mergeItem(i)
		}
		l.notify()
		done(a)
	})
}

// allUpdates returns the updates of this VM and of all peers.
func (l *List) allUpdates() []update {
	list := []update{l.selfUpdate()}
	for _, p := range l.peers {
		list = append(list, p.update)
	}
	return list
}

// answerSync compares the requester's versions with this VM's and fills in the reply.
func (l *List) answerSync(r probeRequest, a *probeReply) {
	theirs := map[string]digestEntry{}
	for _, entry := range r.Members {
		theirs[entry.Name] = entry
	}
	for _, u := range l.allUpdates() {
		own := digestOf(u)
		entry, ok := theirs[own.Name]
		delete(theirs, own.Name)
		if (ok && entry == own) || (!ok && u.VM.State == chestnutcleat.VMGone) {
			continue
		}
		// Each side may be newer in some part of the update, so both send theirs.
		a.Updates = append(a.Updates, u)
		if ok {
			a.WantMembers = append(a.WantMembers, own.Name)
		}
	}
	for name, entry := range theirs {
		if entry.Rank >= 2*rankOf(chestnutcleat.VMGone) {
			continue
		}
		a.WantMembers = append(a.WantMembers, name)
	}
	items := map[string]uint64{}
	for _, entry := range r.Items {
		items[entry.Name] = entry.Version
		if i := l.items[entry.Name]; i == nil || i.Version < entry.Version {
			a.WantItems = append(a.WantItems, entry.Name)
		}
	}
	for _, i := range l.items {
		if i.antiEntropy && items[i.Name] < i.Version {
			a.Items = append(a.Items, *i)
		}
	}
}
