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

// Prefixes are what the platform's watch must cover for Refresh.
var Prefixes = []chestnutcleat.ObjectName{"manifest/", "keys/"}

// Refresh takes an object that the watch on Prefixes delivered; the watch begins after Start was called.
func (s *Store) Refresh(o chestnutcleat.Object) {
	if !s.started() {
		return
	}
	s.heard = true
	switch {
	case o.Deleted:
		return
	case o.Name == rootName:
		r, err := decodeRoot(o.Data)
		if err != nil {
			s.Observer.Emit(event.ManifestInvalid, "object", o.Name, "error", err)
			return
		}
		s.want(r, "")
	case strings.HasPrefix(string(o.Name), string(partPrefix)):
		s.keepSpare(o.Data)
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
	delete(s.unconfirmed, o.Name)
	s.merge([]Key{k}, false)
}

func (s *Store) keepSpare(data []byte) {
	d := chestnutcleat.DigestOf(data)
	if s.parts[d] != nil || s.spare[d] != nil || s.spareBytes+len(data) > maxSpare {
		return
	}
	s.spare[d] = data
	s.spareBytes += len(data)
}

// want fetches a root's parts and puts it into effect, if it is the highest known.
func (s *Store) want(r Root, source chestnutcleat.Address) {
	if r.Revision <= s.root.Revision || (s.wanted != nil && r.Revision <= s.wanted.Revision) {
		return
	}
	s.wanted = &r
	s.source = source
	s.pull()
}

// pull fetches the wanted root's parts; only one pull runs at a time.
func (s *Store) pull() {
	if s.pulling || s.wanted == nil {
		return
	}
	s.pulling = true
	g := &gatherer{
		peers:         s.Peers,
		platform:      s.Platform,
		root:          *s.wanted,
		sources:       s.sources(),
		platformFirst: s.source == "",
		have:          maps.Clone(s.parts),
	}
	maps.Copy(g.have, s.spare)
	chestnutcleat.Async(s.Loop, pullTimeout, g.run, func(l loaded, err error) {
		s.pulling = false
		if err != nil {
			s.Observer.Emit(event.ManifestIncomplete, "revision", g.root.Revision, "error", err)
			s.Loop.After(retryDelay, s.pull)
			return
		}
		s.adopt(l)
		s.pull()
	})
}

// sources returns the addresses to fetch parts from, the announcing peer first.
func (s *Store) sources() []chestnutcleat.Address {
	const maxSources = 3
	var list []chestnutcleat.Address
	if s.source != "" {
		list = append(list, s.source)
	}
	members := s.Members()
	for _, i := range s.Rand.Perm(len(members)) {
		m := members[i]
		if len(list) < maxSources && m.Address != s.Address && m.Address != s.source && m.State != chestnutcleat.VMGone {
			list = append(list, m.Address)
		}
	}
	return list
}

// ask fetches the state of a few other VMs.
func (s *Store) ask() {
	for _, a := range s.sources() {
		s.fetchState(a, FetchRequest{Root: true, Keys: true}, offered{})
	}
}

// fetchState fetches the root or the keys of a VM, or both. If that fails, o is followed again unless a better offer came.
func (s *Store) fetchState(from chestnutcleat.Address, q FetchRequest, o offered) {
	work := func(ctx context.Context) (FetchReply, error) { return fetch(ctx, s.Peers, from, q) }
	chestnutcleat.Async(s.Loop, peerTimeout, work, func(r FetchReply, err error) {
		if err == nil {
			s.heard = true
			s.merge(r.Keys, true)
			if r.Root != nil {
				s.want(*r.Root, from)
			}
		}
		s.comparing = false
		if err != nil && s.higher.from == "" {
			s.higher = o
		}
		s.compareLater()
	})
}

func fetch(ctx context.Context, p chestnutcleat.Peers, from chestnutcleat.Address, q FetchRequest) (FetchReply, error) {
	var r FetchReply
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := p.Call(ctx, from, chestnutcleat.MethodFetch, q, &r); err != nil {
		return r, fmt.Errorf("fetch from %s: %w", from, err)
	}
	return r, nil
}

// Offer takes another VM's summary, received by gossip or by an offer message.
func (s *Store) Offer(o Summary, from chestnutcleat.Address) {
	if !s.started() {
		return
	}
	s.merge(o.Latest, true)
	if o.Revision > s.newest() && o.Revision >= s.higher.revision {
		s.higher = offered{revision: o.Revision, from: from}
	}
	if o.Keys != s.sum {
		s.differing = offered{keys: o.Keys, from: from}
	}
	s.compareLater()
}

// offered is what another VM has and this one lacks.
type offered struct {
	revision chestnutcleat.Revision
	keys     uint64
	from     chestnutcleat.Address
}

// newest returns the highest revision whose root is known, although its parts may be missing.
func (s *Store) newest() chestnutcleat.Revision {
	if s.wanted != nil {
		return s.wanted.Revision
	}
	return s.root.Revision
}

// compareLater asks the VMs with the best offers. Offers that arrive while one VM is asked wait for the next turn.
func (s *Store) compareLater() {
	if s.comparing || (s.higher.from == "" && s.differing.from == "") {
		return
	}
	s.comparing = true
	s.Loop.After(s.spread(), s.compare)
}

// spread is the wait before a peer is asked: it lets the platform's watch deliver the same change first,
// and keeps a fleet of 400 VMs from asking one VM in the same moment.
func (s *Store) spread() time.Duration {
	const least, most = 200 * time.Millisecond, 700 * time.Millisecond
	return least + time.Duration(s.Rand.Int64N(int64(most-least)))
}

func (s *Store) compare() {
	higher, differing := s.higher, s.differing
	s.higher, s.differing = offered{}, offered{}
	switch {
	case higher.revision > s.newest():
		s.fetchState(higher.from, FetchRequest{Root: true, Keys: true}, higher)
	case differing.from != "" && differing.keys != s.sum:
		s.fetchState(differing.from, FetchRequest{Keys: true}, offered{})
	default:
		s.comparing = false
	}
}
