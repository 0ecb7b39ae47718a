package manifest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// pullTimeout bounds one attempt to fetch the parts of a root.
	pullTimeout = 10 * time.Second
	// peerTimeout bounds one request to another VM.
	peerTimeout = 500 * time.Millisecond
	// retryDelay is the wait before the parts of a root are asked for again.
	retryDelay = time.Second
	// maxSpare bounds the parts in bytes that arrived before their root.
	maxSpare = 8 << 20
)

// Store is the manifest and the keys of one VM. Except for Current, its methods are called in the control goroutine.
type Store struct {
	Loop     chestnutcleat.Loop
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	Observer chestnutcleat.Observer
	// Members returns the VMs that may be asked and told; it may contain this VM.
	Members func() []chestnutcleat.VM
	// VM and Address are this VM's own.
	VM      chestnutcleat.VMID
	Address chestnutcleat.Address
	// Folder is where the newest manifest is kept; empty for a VM without a disk.
	Folder string
	Rand   *rand.Rand
	// OnChange runs after a manifest or a key change came into effect; nil for none.
	OnChange func(*View)
	// OnWithdraw runs with the digests of keys that stopped working, to cancel their requests; nil for none.
	OnWithdraw func([]chestnutcleat.Digest)

	current atomic.Pointer[View]
	root    Root
	parts   map[chestnutcleat.Digest][]byte
	spare   map[chestnutcleat.Digest][]byte
	// spareBytes is the size of spare.
	spareBytes int
	// wanted is the highest root that is not in effect yet.
	wanted *Root
	// pulling is set while the parts of wanted are fetched.
	pulling bool
	// source is a peer that has wanted; empty if the platform announced it.
	source chestnutcleat.Address

	keys map[chestnutcleat.Digest]Key
	// sum is the hash of the set of keys.
	sum uint64
	// latest lists the key changes of the last minutes for gossip.
	latest []fresh
	// unconfirmed names the withdrawals that came from other VMs and that the platform has not shown yet.
	unconfirmed map[chestnutcleat.ObjectName]struct{}
	// higher and differing are the best offers of other VMs that were not followed yet.
	higher    offered
	differing offered
	// comparing is set while another VM is asked for what it offered.
	comparing bool

	heard      bool
	unresolved map[chestnutcleat.ChangeID]Record
	outbox     outbox
	saving     bool
	unsaved    bool
}

// Start reloads the copy on disk and asks other VMs; the platform's state arrives through Refresh.
// done runs once the disk was read.
func (s *Store) Start(done func()) {
	s.parts = map[chestnutcleat.Digest][]byte{}
	s.spare = map[chestnutcleat.Digest][]byte{}
	s.keys = map[chestnutcleat.Digest]Key{}
	s.unresolved = map[chestnutcleat.ChangeID]Record{}
	s.current.Store(empty)
	s.unconfirmed = map[chestnutcleat.ObjectName]struct{}{}
	s.outbox.owner = s
	s.reload(func() {
		s.ask()
		done()
	})
}

// empty is the view before Start.
var empty = NewView(chestnutcleat.Manifest{})

// Current returns the snapshot for traffic goroutines; it may be called in any goroutine.
func (s *Store) Current() *View {
	if v := s.current.Load(); v != nil {
		return v
	}
	return empty
}

// started reports whether Start was called; messages of other VMs may arrive before.
func (s *Store) started() bool { return s.keys != nil }

// Revision returns the revision in effect on this VM.
func (s *Store) Revision() chestnutcleat.Revision { return s.root.Revision }

// Ready reports whether a manifest is in effect that was confirmed by the platform or another VM since the start.
// A copy on disk alone may contain keys that were withdrawn meanwhile.
func (s *Store) Ready() bool { return s.heard && s.root.Revision > 0 }

// loaded is a complete manifest that is not in effect yet.
type loaded struct {
	root  Root
	parts map[chestnutcleat.Digest][]byte
	view  *View
}

// load decodes a root whose parts are complete; it is slow and runs outside the control goroutine.
func load(r Root, parts map[chestnutcleat.Digest][]byte) (loaded, error) {
	m, err := join(r, parts)
	if err != nil {
		return loaded{}, err
	}
	own := make(map[chestnutcleat.Digest][]byte, len(r.Parts))
	for _, d := range r.Parts {
		own[d] = parts[d]
	}
	return loaded{root: r, parts: own, view: NewView(m)}, nil
}

// adopt puts a manifest into effect if its revision is higher than the current one.
func (s *Store) adopt(l loaded) bool {
	if l.root.Revision <= s.root.Revision {
		return false
	}
	s.root = l.root
	s.parts = l.parts
	if s.wanted != nil && s.wanted.Revision <= l.root.Revision {
		s.wanted = nil
	}
	if s.wanted == nil {
		clear(s.spare)
		s.spareBytes = 0
	}
	s.publish(l.view)
	s.settle()
	s.save()
	s.Observer.Emit(event.ManifestInEffect, "revision", l.root.Revision, "who", l.root.Who)
	return true
}

// publish replaces the snapshot and reports the keys that stopped working.
func (s *Store) publish(base *View) {
	old := s.current.Load()
	next := base.with(maps.Clone(s.keys))
	s.current.Store(next)
	if list := old.ended(next); len(list) > 0 && s.OnWithdraw != nil {
		s.OnWithdraw(list)
	}
	if s.OnChange != nil {
		s.OnChange(next)
	}
}

// settle finishes the changes whose outcome was unknown and that the root in effect lists.
func (s *Store) settle() {
	for id, r := range s.unresolved {
		if revision, ok := s.root.accepted(id); ok {
			delete(s.unresolved, id)
			r.Result = ResultAccepted
			r.Revision = revision
			s.record(r)
		}
	}
}

func (s *Store) newChange() chestnutcleat.ChangeID {
	return chestnutcleat.ChangeID(fmt.Sprintf("%s-%016x%016x", s.VM, s.Rand.Uint64(), s.Rand.Uint64()))
}
