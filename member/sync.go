package member

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// syncTimeout bounds one exchange of versions.
const syncTimeout = time.Second

// compare exchanges versions with a VM whose checksum differs, at a bounded rate.
func (l *List) compare(to chestnutcleat.Address, g gossip) {
	if g.Sum == l.sum() {
		return
	}
	every := syncInterval
	if len(l.peers) > largeFleet {
		every = slowSync
	}
	if !l.lastSync.IsZero() && time.Since(l.lastSync) < every {
		return
	}
	l.lastSync = time.Now()
	l.sync(to)
}

// sync exchanges all versions with one VM.
func (l *List) sync(to chestnutcleat.Address) {
	r := probeRequest{Gossip: l.gossip(update{}), Sync: true}
	for _, u := range l.updates() {
		r.Members = append(r.Members, stampOf(u))
	}
	for _, i := range l.items {
		if i.lasting {
			r.Items = append(r.Items, stamp{Name: i.Name, Version: i.Version})
		}
	}
	l.exchange(to, r, func(a probeReply) {
		if len(a.Want) == 0 && len(a.WantMembers) == 0 {
			return
		}
		r := probeRequest{Gossip: l.gossip(update{})}
		for _, name := range a.Want {
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
		l.absorb(a.Gossip)
		for _, u := range a.Updates {
			l.learn(u)
		}
		for _, i := range a.Items {
			l.merge(i)
		}
		l.notify()
		done(a)
	})
}

// updates returns everything known about VMs.
func (l *List) updates() []update {
	list := []update{l.self()}
	for _, p := range l.peers {
		list = append(list, p.update)
	}
	return list
}

// answerSync compares the sender's versions with the own ones.
func (l *List) answerSync(r probeRequest, a *probeReply) {
	theirs := map[string]stamp{}
	for _, s := range r.Members {
		theirs[s.Name] = s
	}
	for _, u := range l.updates() {
		own := stampOf(u)
		s, ok := theirs[own.Name]
		delete(theirs, own.Name)
		if (ok && s == own) || (!ok && u.VM.State == chestnutcleat.VMGone) {
			continue
		}
		// Neither side need be newer in every part, so both send theirs.
		a.Updates = append(a.Updates, u)
		if ok {
			a.WantMembers = append(a.WantMembers, own.Name)
		}
	}
	for name, s := range theirs {
		if s.Rank >= 2*rankOf(chestnutcleat.VMGone) {
			continue
		}
		a.WantMembers = append(a.WantMembers, name)
	}
	items := map[string]uint64{}
	for _, s := range r.Items {
		items[s.Name] = s.Version
		if i := l.items[s.Name]; i == nil || i.Version < s.Version {
			a.Want = append(a.Want, s.Name)
		}
	}
	for _, i := range l.items {
		if i.lasting && items[i.Name] < i.Version {
			a.Items = append(a.Items, *i)
		}
	}
}
