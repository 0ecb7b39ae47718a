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
	// updateBytes is the typical encoded size of an update.
	updateBytes = 150
	// overheadBytes is the size of the sender's own update, the checksum and the framing.
	overheadBytes = 220
)

func sortPeers(list []*peer) {
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
}

// nextGossip returns the gossip for a message. If this VM has the receiver as suspect or gone, that update comes first, so
// that the receiver can refute it.
func (l *List) nextGossip(receiver update) gossip {
	g := gossip{Self: l.selfUpdate(), Checksum: l.currentChecksum()}
	remaining := messageBytes - overheadBytes
	if receiver.VM.ID != "" && (receiver.Suspect || receiver.VM.State == chestnutcleat.VMGone) {
		g.Updates = append(g.Updates, receiver)
		remaining -= updateBytes
	}
	for range len(l.highPriority) + len(l.lowPriority) {
		if remaining < updateBytes {
			return g
		}
		p := l.dequeue()
		if p.VM.ID != receiver.VM.ID {
			remaining -= updateBytes
			p.sendsLeft--
			g.Updates = append(g.Updates, p.update)
		}
		l.requeue(p)
	}
	g.Items = l.selectItems(remaining)
	return g
}

// enqueueChange queues a changed peer with high priority for the next messages.
func (l *List) enqueueChange(p *peer) {
	p.sendsLeft = l.maxSends()
	same := func(o *peer) bool { return o == p }
	l.lowPriority = slices.DeleteFunc(l.lowPriority, same)
	l.highPriority = append(slices.DeleteFunc(l.highPriority, same), p)
}

// dequeue removes the next queued peer; peers that were sent less often come first.
func (l *List) dequeue() *peer {
	queue := &l.highPriority
	if len(l.highPriority) == 0 {
		queue = &l.lowPriority
	}
	p := (*queue)[0]
	*queue = (*queue)[1:]
	return p
}

// requeue puts a peer back into a queue if it has sends left.
func (l *List) requeue(p *peer) {
	switch {
	case p.sendsLeft > l.maxSends()/2:
		l.highPriority = append(l.highPriority, p)
	case p.sendsLeft > 0:
		l.lowPriority = append(l.lowPriority, p)
	}
}

// selectItems returns the items for a message, those with most sends left first; an item larger than a message is sent
// without others.
func (l *List) selectItems(remaining int) []item {
	var pending []*item
	for _, i := range l.items {
		if i.sendsLeft > 0 {
			pending = append(pending, i)
		}
	}
	slices.SortFunc(pending, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Name, b.Name))
	})
	var list []item
	for _, i := range pending {
		large := i.size() > messageBytes-overheadBytes
		if !large && i.size() > remaining || large && len(list) > 0 {
			continue
		}
		remaining -= i.size()
		i.sendsLeft--
		list = append(list, *i)
		if large {
			return list
		}
	}
	return list
}

// mergeGossip merges the updates and items of a message.
func (l *List) mergeGossip(g gossip) {
	l.apply(g.Self)
	for _, u := range g.Updates {
		l.apply(u)
	}
	for _, i := range g.Items {
		l.mergeItem(i)
	}
}

// Put sets an item without expiry; a lower or equal version changes nothing.
func (l *List) Put(name string, version uint64, data []byte) {
	l.init()
	l.mergeItem(item{Name: name, Version: version, Data: data})
}

// PutUntil sets an item that is removed at its expiry; a lower or equal version changes nothing.
func (l *List) PutUntil(name string, version uint64, data []byte, expiry time.Time) {
	l.init()
	l.mergeItem(item{Name: name, Version: version, Data: data, Expiry: expiry.UnixMilli()})
}

// Get returns an item that has not expired.
func (l *List) Get(name string) (data []byte, version uint64, ok bool) {
	i := l.items[name]
	if i == nil || i.expired(time.Now()) {
		return nil, 0, false
	}
	return i.Data, i.Version, true
}

// mergeItem stores an item if its version is higher than the known one and it has not expired.
func (l *List) mergeItem(i item) {
	old := l.items[i.Name]
	now := time.Now()
	if i.expired(now) || (old != nil && old.Version >= i.Version) {
		return
	}
	i.antiEntropy = i.Expiry == 0 || i.Expiry-now.UnixMilli() > minAntiEntropyLifetime.Milliseconds()
	if old != nil {
		i.antiEntropy = i.antiEntropy || old.antiEntropy
	}
	i.sendsLeft = l.maxSends()
	l.items[i.Name] = &i
	if i.antiEntropy {
		l.checksumStale = true
		l.push()
	}
	if l.OnItem != nil {
		l.OnItem(i.Name, i.Data)
	}
}

// removeExpired removes expired items and VMs that have been gone for longer than goneRetention.
func (l *List) removeExpired(now time.Time) {
	for name, i := range l.items {
		if i.expired(now) {
			delete(l.items, name)
			l.checksumStale = true
		}
	}
	for id, p := range l.peers {
		if !p.present() && now.Sub(p.changedAt) > goneRetention {
			delete(l.peers, id)
		}
	}
}

// currentChecksum returns an order-independent checksum of the versions of all present members
// and the items that take part in anti-entropy.
func (l *List) currentChecksum() uint64 {
	if !l.checksumStale {
		return l.checksum
	}
	s := hashDigestEntry(digestOf(l.selfUpdate()))
	for _, p := range l.peers {
		// VMs that are gone are left out, as each VM removes them at another time.
		if p.present() {
			s ^= hashDigestEntry(digestOf(p.update))
		}
	}
	for _, i := range l.items {
		if i.antiEntropy {
			s ^= hashDigestEntry(digestEntry{Name: i.Name, Version: i.Version, Rank: -1})
		}
	}
	l.checksum, l.checksumStale = s, false
	return s
}

func hashDigestEntry(entry digestEntry) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], entry.Version)
	binary.LittleEndian.PutUint64(b[8:], entry.Refutations)
	binary.LittleEndian.PutUint64(b[16:], uint64(entry.Rank))
	var d xxhash.Digest
	d.Reset()
	d.WriteString(entry.Name)
	d.Write(b[:])
	return d.Sum64()
}
