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
	// partsTimeout bounds one attempt to fetch the parts of a root.
	partsTimeout = 10 * time.Second
	// peerTimeout bounds one request to another VM.
	peerTimeout = 500 * time.Millisecond
	// partsRetryDelay is the wait before the next attempt.
	partsRetryDelay = time.Second
	// maxEarlyBytes bounds the parts that arrived before their root.
	maxEarlyBytes = 8 << 20
)

// Store holds the manifest and the keys of one VM. Except for Current, its methods run in the control goroutine.
type Store struct {
	Loop     chestnutcleat.Loop
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	Observer chestnutcleat.Observer
	// Members returns the VMs of the fleet; it may include this VM.
	Members func() []chestnutcleat.VM
	// VM and Address are this VM's own.
	VM      chestnutcleat.VMID
	Address chestnutcleat.Address
	// Folder is the folder of the copy on disk; empty for a VM without a disk.
	Folder string
	Rand   *rand.Rand
	// OnChange runs after a manifest or a key change has taken effect; it may be nil.
	OnChange func(*View)
	// OnKeysDeactivated runs with the digests of keys that are no longer active, to cancel their requests; it may be nil.
	OnKeysDeactivated func([]chestnutcleat.Digest)

	current atomic.Pointer[View]
	root    Root
	parts   map[chestnutcleat.Digest][]byte
	// earlyParts are parts whose root has not arrived yet.
	earlyParts map[chestnutcleat.Digest][]byte
	// earlyBytes is the total size of earlyParts.
	earlyBytes int
	// pendingRoot is the newest known root that is not in effect yet.
	pendingRoot *Root
	// fetchingParts is set while the parts of pendingRoot are fetched.
	fetchingParts bool
	// pendingSource is the peer that announced pendingRoot; empty if it came from the platform.
	pendingSource chestnutcleat.Address

	keys map[chestnutcleat.Digest]Key
	// keysHash is the XOR of the hashes of keys.
	keysHash uint64
	// recentKeys lists the key changes that are still gossiped.
	recentKeys []recentKey
	// pendingWithdrawals names the withdrawals received from other VMs that the platform has not delivered yet.
	pendingWithdrawals map[chestnutcleat.ObjectName]struct{}
	// newerOffer and keysOffer are the next offers to follow: of a newer revision and of other key changes.
	newerOffer peerOffer
	keysOffer  peerOffer
	// syncing is set while a request to another VM is scheduled or in flight.
	syncing bool

	// confirmed is set once the platform or another VM has delivered state since the start.
	confirmed bool
	// unresolved holds the audit records of changes whose outcome is unknown.
	unresolved map[chestnutcleat.ChangeID]Record
	outbox     outbox
	saving     bool
	// saveAgain is set if the state changed during a write to disk.
	saveAgain bool
}

// Start loads the copy on disk and then queries other VMs; the platform's state arrives through HandleObject.
// done runs once the copy on disk was read.
func (s *Store) Start(done func()) {
	s.parts = map[chestnutcleat.Digest][]byte{}
	s.earlyParts = map[chestnutcleat.Digest][]byte{}
	s.keys = map[chestnutcleat.Digest]Key{}
	s.unresolved = map[chestnutcleat.ChangeID]Record{}
	s.current.Store(empty)
	s.pendingWithdrawals = map[chestnutcleat.ObjectName]struct{}{}
	s.outbox.store = s
	s.loadDiskCopy(func() {
		s.queryPeers()
		done()
	})
}

// empty is the view before a manifest is known.
var empty = NewView(chestnutcleat.Manifest{})

// Current returns the current view; it is safe for concurrent use.
func (s *Store) Current() *View {
	if v := s.current.Load(); v != nil {
		return v
	}
	return empty
}

// started reports whether Start was called; messages of other VMs may arrive earlier.
func (s *Store) started() bool { return s.keys != nil }

// Revision returns the revision in effect on this VM; zero means none.
func (s *Store) Revision() chestnutcleat.Revision { return s.root.Revision }

// Ready reports whether a manifest is in effect and the platform or another VM has delivered state since the start.
// A copy on disk alone may contain keys that were withdrawn since.
func (s *Store) Ready() bool { return s.confirmed && s.root.Revision > 0 }

// loadedManifest is a complete, decoded manifest that is not in effect yet.
type loadedManifest struct {
	root  Root
	parts map[chestnutcleat.Digest][]byte
	view  *View
}

// load decodes a root whose parts are all present; it is slow and must not run in the control goroutine.
func load(r Root, parts map[chestnutcleat.Digest][]byte) (loadedManifest, error) {
	m, err := join(r, parts)
	if err != nil {
		return loadedManifest{}, err
	}
	own := make(map[chestnutcleat.Digest][]byte, len(r.Parts))
	for _, d := range r.Parts {
		own[d] = parts[d]
	}
	return loadedManifest{root: r, parts: own, view: NewView(m)}, nil
}

// activate puts a manifest into effect if its revision is higher than the current one.
func (s *Store) activate(l loadedManifest) bool {
	if l.root.Revision <= s.root.Revision {
		return false
	}
	s.root = l.root
	s.parts = l.parts
	if s.pendingRoot != nil && s.pendingRoot.Revision <= l.root.Revision {
		s.pendingRoot = nil
	}
	if s.pendingRoot == nil {
		clear(s.earlyParts)
		s.earlyBytes = 0
	}
	s.publish(l.view)
	s.resolveUnknown()
	s.save()
	s.Observer.Emit(event.ManifestInEffect, "revision", l.root.Revision, "who", l.root.Who)
	return true
}

// publish replaces the current view and reports the keys that are no longer active.
func (s *Store) publish(base *View) {
	old := s.current.Load()
	next := base.withKeys(maps.Clone(s.keys))
	s.current.Store(next)
	if list := old.deactivatedKeys(next); len(list) > 0 && s.OnKeysDeactivated != nil {
		s.OnKeysDeactivated(list)
	}
	if s.OnChange != nil {
		s.OnChange(next)
	}
}

// resolveUnknown records the acceptance of changes with an unknown outcome that the root in effect lists.
func (s *Store) resolveUnknown() {
	for id, r := range s.unresolved {
		if revision, ok := s.root.accepted(id); ok {
			delete(s.unresolved, id)
			r.Result = ResultAccepted
			r.Revision = revision
			s.record(r)
		}
	}
}

func (s *Store) newChangeID() chestnutcleat.ChangeID {
	return chestnutcleat.ChangeID(fmt.Sprintf("%s-%016x%016x", s.VM, s.Rand.Uint64(), s.Rand.Uint64()))
}
