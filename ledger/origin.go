package ledger

import (
	"context"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// originOverheadBytes estimates the memory of an index entry of a stream, excluding its ids.
	originOverheadBytes = 320
	// routeOverheadBytes estimates the memory of the entry of a route's origin.
	routeOverheadBytes = 160
	// maxOrigins is the number of origins that are kept of an attempt. A caller uses an attempt's id for one request; of several, as many
	// are told apart.
	maxOrigins = 4
)

// streamState is the index entry of an attempt that began a stream.
type streamState struct {
	// origins are those of the highest try of each request.
	origins   []originState
	expiresAt int64
}

// originState is an origin and the location of its latest record.
type originState struct {
	Origin
	route chestnutcleat.RouteName
	loc   location
}

// mergeOrigin adds an origin to those of an attempt's requests, and returns its index in the new list, or -1 if that needs no record of it.
// Only a higher try of the same request replaces an origin: several requests with one id each have a stream of their own.
func mergeOrigin(list []originState, o Origin) ([]originState, int) {
	merged := make([]originState, 0, len(list)+1)
	for _, known := range list {
		switch {
		case known.Nonce == o.Nonce && known.Try > o.Try:
			return list, -1
		case known.Nonce != o.Nonce || known.Try == o.Try:
			merged = append(merged, known)
		}
	}
	if i := slices.IndexFunc(merged, func(known originState) bool { return known.Origin == o }); i >= 0 {
		return merged, i
	}
	if len(merged) == maxOrigins {
		if agreed, ok := agreedOrigin(merged); !ok || agreed.sameVersion(o) {
			return list, -1
		}
		merged = merged[:maxOrigins-1]
	}
	return append(merged, originState{Origin: o}), len(merged)
}

// agreedOrigin returns the origin of the highest try; ok is false if the list is empty or names several services or software versions.
func agreedOrigin(list []originState) (o Origin, ok bool) {
	for i, known := range list {
		if i > 0 && !known.sameVersion(o) {
			return Origin{}, false
		}
		if known.Try >= o.Try {
			o = known.Origin
		}
	}
	return o, len(list) > 0
}

// routeOrigin is an origin of a route's streams.
type routeOrigin struct {
	route    chestnutcleat.RouteName
	service  chestnutcleat.ServiceName
	software chestnutcleat.SoftwareVersion
}

func (r *Record) origin() Origin {
	return Origin{Service: r.Service, Software: r.Software, Try: r.Try, Nonce: r.Nonce}
}

// applyBegin adds the origin of a Begin record to its stream.
func (s *state) applyBegin(r *Record, loc location) {
	k := turnKey{s.intern(r.Customer), r.Attempt}
	b := s.streams[k]
	if b == nil {
		b = &streamState{}
		s.streams[k] = b
		s.addStreamMemory(streamMemory(k))
	}
	b.expiresAt = max(b.expiresAt, r.ExpiresAt)
	s.noteRoute(r)
	list, i := mergeOrigin(b.origins, r.origin())
	if i < 0 {
		return
	}
	s.removeOrigins(b)
	list[i].loc, list[i].route = loc, r.Route
	b.origins = list
	for _, o := range list {
		s.addLive(o.loc)
	}
}

// noteRoute records that a stream of a route began at an origin.
func (s *state) noteRoute(r *Record) {
	o := routeOrigin{r.Route, r.Service, r.Software}
	if _, ok := s.routes[o]; !ok {
		s.memory += routeOverheadBytes
	}
	s.routes[o] = max(s.routes[o], r.ExpiresAt)
}

// removeOrigins takes the records of all origins of a stream out of the count of live bytes.
func (s *state) removeOrigins(b *streamState) {
	for _, o := range b.origins {
		s.removeLive(o.loc)
	}
}

func (s *state) expireStreams(now time.Time) {
	for k, b := range s.streams {
		if now.Unix() > b.expiresAt {
			s.removeOrigins(b)
			s.addStreamMemory(-streamMemory(k))
			delete(s.streams, k)
		}
	}
	for o, expiresAt := range s.routes {
		if now.Unix() > expiresAt {
			s.memory -= routeOverheadBytes
			delete(s.routes, o)
		}
	}
}

func (s *state) addStreamMemory(n int64) {
	s.memory += n
	s.streamBytes += n
}

func streamMemory(k turnKey) int64 { return int64(originOverheadBytes + len(k.turn)) }

func (o originState) record(k turnKey, expiresAt int64) Record {
	return Record{
		Kind: Begin, Customer: k.customer, Attempt: k.turn, Route: o.route,
		Service: o.Service, Software: o.Software, Try: o.Try, Nonce: o.Nonce, ExpiresAt: expiresAt,
	}
}

// streamRecords returns the records of all streams.
func (s *state) streamRecords() []Record {
	var list []Record
	for k, b := range s.streams {
		for _, o := range b.origins {
			list = append(list, o.record(k, b.expiresAt))
		}
	}
	return list
}

// containsBegin reports whether applying a Begin record of another replica would change nothing.
func (s *state) containsBegin(r *Record) bool {
	b := s.streams[turnKey{r.Customer, r.Attempt}]
	if b == nil || b.expiresAt < r.ExpiresAt {
		return false
	}
	o := r.origin()
	_, i := mergeOrigin(b.origins, o)
	return i < 0 || slices.ContainsFunc(b.origins, func(known originState) bool { return known.Origin == o })
}

// liveBegin is liveRecord for Begin records.
func (s *state) liveBegin(r *Record, loc location) (Record, bool) {
	k := turnKey{r.Customer, r.Attempt}
	b := s.streams[k]
	if b == nil {
		return Record{}, false
	}
	for _, o := range b.origins {
		if o.loc == loc {
			return o.record(k, b.expiresAt), true
		}
	}
	return Record{}, false
}

// findOrigins returns the origins that this replica has of an attempt's stream and of its route.
func (s *Store) findOrigins(_ context.Context, q OriginRequest) (OriginReply, error) {
	if check, ok, err := s.checkTarget(q.Target); !ok {
		return OriginReply{VersionCheck: check}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := OriginReply{Complete: s.state.complete}
	if b := s.state.streams[turnKey{q.Customer, q.Attempt}]; b != nil {
		for _, o := range b.origins {
			r.Origins = append(r.Origins, o.Origin)
		}
	}
	for o := range s.state.routes {
		if o.route == q.Route {
			r.OfRoute = append(r.OfRoute, Origin{Service: o.service, Software: o.software})
		}
	}
	return r, nil
}
