package manifest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// WatchPrefixes are the object name prefixes that the platform's watch must cover for HandleObject.
var WatchPrefixes = []chestnutcleat.ObjectName{"manifest/", "keys/"}

// HandleObject handles an object delivered by the watch on WatchPrefixes; objects that arrive before Start are ignored.
func (s *Store) HandleObject(o chestnutcleat.Object) {
	if !s.started() {
		return
	}
	s.confirmed = true
	switch {
	case o.Deleted:
		return
	case o.Name == rootName:
		r, err := decodeRoot(o.Data)
		if err != nil {
			s.Observer.Emit(event.ManifestInvalid, "object", o.Name, "error", err)
			return
		}
		s.advanceTo(r, "")
	case strings.HasPrefix(string(o.Name), string(partPrefix)):
		s.keepEarlyPart(o.Data)
	case strings.HasPrefix(string(o.Name), string(givenPrefix)), strings.HasPrefix(string(o.Name), string(withdrawnPrefix)):
		s.refreshKey(o)
	}
}

func (s *Store) refreshKey(o chestnutcleat.Object) {
	var k Key
	if err := json.Unmarshal(o.Data, &k); err != nil || k.name() != o.Name {
		s.Observer.Emit(event.ManifestInvalid, "object", o.Name, "error", err)
		return
	}
	delete(s.pendingWithdrawals, o.Name)
	s.mergeKeys([]Key{k}, false)
}

// keepEarlyPart stores a part whose root has not arrived yet.
func (s *Store) keepEarlyPart(data []byte) {
	d := chestnutcleat.DigestOf(data)
	if s.parts[d] != nil || s.earlyParts[d] != nil || s.earlyBytes+len(data) > maxEarlyBytes {
		return
	}
	s.earlyParts[d] = data
	s.earlyBytes += len(data)
}

// advanceTo fetches the parts of a root and activates it, unless a root of the same or a higher revision is known.
// An empty source means that the root came from the platform.
func (s *Store) advanceTo(r Root, source chestnutcleat.Address) {
	if r.Revision <= s.root.Revision || (s.pendingRoot != nil && r.Revision <= s.pendingRoot.Revision) {
		return
	}
	s.pendingRoot = &r
	s.pendingSource = source
	s.fetchParts()
}

// fetchParts fetches the parts of the pending root; only one fetch runs at a time.
func (s *Store) fetchParts() {
	if s.fetchingParts || s.pendingRoot == nil {
		return
	}
	s.fetchingParts = true
	f := &partFetcher{
		peers:         s.Peers,
		platform:      s.Platform,
		root:          *s.pendingRoot,
		sources:       s.fetchSources(),
		platformFirst: s.pendingSource == "",
		parts:         maps.Clone(s.parts),
	}
	maps.Copy(f.parts, s.earlyParts)
	chestnutcleat.Async(s.Loop, partsTimeout, f.run, func(l loadedManifest, err error) {
		s.fetchingParts = false
		if err != nil {
			s.Observer.Emit(event.ManifestIncomplete, "revision", f.root.Revision, "error", err)
			s.Loop.After(partsRetryDelay, s.fetchParts)
			return
		}
		s.activate(l)
		s.fetchParts()
	})
}

// fetchSources returns up to three VMs to fetch from: first the one that announced the pending root, then random ones.
func (s *Store) fetchSources() []chestnutcleat.Address {
	const maxSources = 3
	var list []chestnutcleat.Address
	if s.pendingSource != "" {
		list = append(list, s.pendingSource)
	}
	members := s.Members()
	for _, i := range s.Rand.Perm(len(members)) {
		m := members[i]
		if len(list) < maxSources && m.Address != s.Address && m.Address != s.pendingSource && m.State != chestnutcleat.VMGone {
			list = append(list, m.Address)
		}
	}
	return list
}

// queryPeers fetches the root and the key changes of a few other VMs.
func (s *Store) queryPeers() {
	for _, a := range s.fetchSources() {
		s.fetchState(a, FetchRequest{Root: true, Keys: true}, peerOffer{})
	}
}

// fetchState fetches the root, the key changes or both from another VM. If that fails, offer o is tried again unless
// another offer of a newer revision has arrived.
func (s *Store) fetchState(from chestnutcleat.Address, q FetchRequest, o peerOffer) {
	work := func(ctx context.Context) (FetchReply, error) { return fetchFromPeer(ctx, s.Peers, from, q) }
	chestnutcleat.Async(s.Loop, peerTimeout, work, func(r FetchReply, err error) {
		if err == nil {
			s.confirmed = true
			s.mergeKeys(r.Keys, true)
			if r.Root != nil {
				s.advanceTo(*r.Root, from)
			}
		}
		s.syncing = false
		if err != nil && s.newerOffer.from == "" {
			s.newerOffer = o
		}
		s.scheduleSync()
	})
}

func fetchFromPeer(ctx context.Context, p chestnutcleat.Peers, from chestnutcleat.Address, q FetchRequest) (FetchReply, error) {
	var r FetchReply
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := p.Call(ctx, from, chestnutcleat.MethodFetch, q, &r); err != nil {
		return r, fmt.Errorf("fetch from %s: %w", from, err)
	}
	return r, nil
}

// HandleOffer handles another VM's summary, received by gossip or as an OfferRequest.
func (s *Store) HandleOffer(o Summary, from chestnutcleat.Address) {
	if !s.started() {
		return
	}
	s.mergeKeys(o.Latest, true)
	if o.Revision > s.newestRevision() && o.Revision >= s.newerOffer.revision {
		s.newerOffer = peerOffer{revision: o.Revision, from: from}
	}
	if o.Keys != s.keysHash {
		s.keysOffer = peerOffer{keys: o.Keys, from: from}
	}
	s.scheduleSync()
}

// peerOffer is a state that another VM has and this one lacks.
type peerOffer struct {
	revision chestnutcleat.Revision
	keys     uint64
	from     chestnutcleat.Address
}

// newestRevision returns the highest revision whose root is known, even if parts of it are missing.
func (s *Store) newestRevision() chestnutcleat.Revision {
	if s.pendingRoot != nil {
		return s.pendingRoot.Revision
	}
	return s.root.Revision
}

// scheduleSync schedules a request to the VM with the best offer; offers that arrive before its reply are handled later.
func (s *Store) scheduleSync() {
	if s.syncing || (s.newerOffer.from == "" && s.keysOffer.from == "") {
		return
	}
	s.syncing = true
	s.Loop.After(s.syncDelay(), s.syncWithPeer)
}

// syncDelay returns a random wait before a peer is asked. It lets the platform's watch deliver the same change first,
// and keeps the VMs of a fleet of 400 from asking the same VM at the same time.
func (s *Store) syncDelay() time.Duration {
	const minDelay, maxDelay = 200 * time.Millisecond, 700 * time.Millisecond
	return minDelay + time.Duration(s.Rand.Int64N(int64(maxDelay-minDelay)))
}

func (s *Store) syncWithPeer() {
	higher, differing := s.newerOffer, s.keysOffer
	s.newerOffer, s.keysOffer = peerOffer{}, peerOffer{}
	switch {
	case higher.revision > s.newestRevision():
		s.fetchState(higher.from, FetchRequest{Root: true, Keys: true}, higher)
	case differing.from != "" && differing.keys != s.keysHash:
		s.fetchState(differing.from, FetchRequest{Keys: true}, peerOffer{})
	default:
		s.syncing = false
	}
}
