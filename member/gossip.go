package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// updateBytes is the usual encoded size of an update.
	updateBytes = 150
	// headBytes is the size of the sender's own update, the checksum and the framing.
	headBytes = 220
)

func sortPeers(list []*peer) {
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
}

// gossip returns the news for a message; about is the receiver, which must learn wrong news about itself.
func (l *List) gossip(about update) gossip {
	g := gossip{Self: l.self(), Sum: l.sum()}
	room := messageBytes - headBytes
	if about.VM.ID != "" && (about.Suspect || about.VM.State == chestnutcleat.VMGone) {
		g.Updates = append(g.Updates, about)
		room -= updateBytes
	}
	for range len(l.fresh) + len(l.news) {
		if room < updateBytes {
			return g
		}
		p := l.next()
		if p.VM.ID != about.VM.ID {
			room -= updateBytes
			p.sends--
			g.Updates = append(g.Updates, p.update)
		}
		l.enqueue(p)
	}
	g.Items = l.freshItems(room)
	return g
}

// announce makes a changed peer part of the next messages.
func (l *List) announce(p *peer) {
	p.sends = l.maxSends()
	same := func(o *peer) bool { return o == p }
	l.news = slices.DeleteFunc(l.news, same)
	l.fresh = append(slices.DeleteFunc(l.fresh, same), p)
}

// next takes a peer whose state is still to be sent; those that were sent less often come first.
func (l *List) next() *peer {
	from := &l.fresh
	if len(l.fresh) == 0 {
		from = &l.news
	}
	p := (*from)[0]
	*from = (*from)[1:]
	return p
}

// enqueue keeps a peer that is still to be sent.
func (l *List) enqueue(p *peer) {
	switch {
	case p.sends > l.maxSends()/2:
		l.fresh = append(l.fresh, p)
	case p.sends > 0:
		l.news = append(l.news, p)
	}
}

// freshItems returns the items that are to be sent; an item larger than a message goes alone.
func (l *List) freshItems(room int) []item {
	var news []*item
	for _, i := range l.items {
		if i.sends > 0 {
			news = append(news, i)
		}
	}
	slices.SortFunc(news, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Name, b.Name))
	})
	var list []item
	for _, i := range news {
		large := i.size() > messageBytes-headBytes
		if !large && i.size() > room || large && len(list) > 0 {
			continue
		}
		room -= i.size()
		i.sends--
		list = append(list, *i)
		if large {
			return list
		}
	}
	return list
}

// absorb merges the news of a message.
func (l *List) absorb(g gossip) {
	l.apply(g.Self)
	for _, u := range g.Updates {
		l.apply(u)
	}
	for _, i := range g.Items {
		l.merge(i)
	}
}

// Put sets an item without expiry; a lower or equal version changes nothing.
func (l *List) Put(name string, version uint64, data []byte) {
	l.init()
	l.merge(item{Name: name, Version: version, Data: data})
}

// PutUntil sets an item that is forgotten at its expiry.
func (l *List) PutUntil(name string, version uint64, data []byte, expiry time.Time) {
	l.init()
	l.merge(item{Name: name, Version: version, Data: data, Expiry: expiry.UnixMilli()})
}

// Get returns an item.
func (l *List) Get(name string) (data []byte, version uint64, ok bool) {
	i := l.items[name]
	if i == nil || i.expired(time.Now()) {
		return nil, 0, false
	}
	return i.Data, i.Version, true
}

// merge keeps an item if its version is higher.
func (l *List) merge(i item) {
	old := l.items[i.Name]
	now := time.Now()
	if i.expired(now) || (old != nil && old.Version >= i.Version) {
		return
	}
	i.lasting = i.Expiry == 0 || i.Expiry-now.UnixMilli() > lastingTime.Milliseconds()
	if old != nil {
		i.lasting = i.lasting || old.lasting
	}
	i.sends = l.maxSends()
	l.items[i.Name] = &i
	if i.lasting {
		l.stale = true
		l.push()
	}
	if l.OnItem != nil {
		l.OnItem(i.Name, i.Data)
	}
}

// expire forgets expired items and VMs that are gone for long.
func (l *List) expire(now time.Time) {
	for name, i := range l.items {
		if i.expired(now) {
			delete(l.items, name)
			l.stale = true
		}
	}
	for id, p := range l.peers {
		if !p.present() && now.Sub(p.since) > goneRetention {
			delete(l.peers, id)
		}
	}
}

// sum returns a checksum of all versions that does not depend on their order.
func (l *List) sum() uint64 {
	if !l.stale {
		return l.checksum
	}
	s := stampSum(stampOf(l.self()))
	for _, p := range l.peers {
		// VMs that are gone are forgotten at different times.
		if p.present() {
			s ^= stampSum(stampOf(p.update))
		}
	}
	for _, i := range l.items {
		if i.lasting {
			s ^= stampSum(stamp{Name: i.Name, Version: i.Version, Rank: -1})
		}
	}
	l.checksum, l.stale = s, false
	return s
}

func stampSum(s stamp) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], s.Version)
	binary.LittleEndian.PutUint64(b[8:], s.Count)
	binary.LittleEndian.PutUint64(b[16:], uint64(s.Rank))
	var d xxhash.Digest
	d.Reset()
	d.WriteString(s.Name)
	d.Write(b[:])
	return d.Sum64()
}
