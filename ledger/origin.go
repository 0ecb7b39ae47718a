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
	// maxOrigins is the number of origins that are kept of an attempt: two are enough to know that they contradict each other.
	maxOrigins = 2
)

// streamState is the index entry of an attempt that began a stream.
type streamState struct {
	// origins are those of the highest try.
	origins   []originState
	expiresAt int64
}

// originState is an origin and the location of its latest record.
type originState struct {
	Origin
	route chestnutcleat.RouteName
	loc   location
}

// mergeOrigin adds an origin to those of the highest try; it returns the index of the origin in the list, or -1 if the list needs no
// record of it.
func mergeOrigin(list []originState, o Origin) ([]originState, int) {
	if len(list) > 0 && list[0].Try > o.Try {
		return list, -1
	}
	if len(list) > 0 && list[0].Try < o.Try {
		list = nil
	}
	i := slices.IndexFunc(list, func(known originState) bool { return known.Origin == o })
	if i < 0 && len(list) < maxOrigins {
		list, i = append(list, originState{Origin: o}), len(list)
	}
	return list, i
}

// routeOrigin is an origin of a route's streams.
type routeOrigin struct {
	route    chestnutcleat.RouteName
	service  chestnutcleat.ServiceName
	software chestnutcleat.SoftwareVersion
}

func (r *Record) origin() Origin { return Origin{Service: r.Service, Software: r.Software, Try: r.Try} }

// applyBegin adds the origin of a Begin record to its stream. A higher try replaces the origins of lower ones.
func (s *state) applyBegin(r *Record, loc location) {
	k := turnKey{s.intern(r.Customer), r.Attempt}
	b := s.streams[k]
	if b == nil {
		b = &streamState{}
		s.streams[k] = b
		s.memory += streamMemory(k)
	}
	b.expiresAt = max(b.expiresAt, r.ExpiresAt)
	s.noteRoute(r)
	list, i := mergeOrigin(b.origins, r.origin())
	if i < 0 {
		return
	}
	replaced := list[i].loc
	list[i].loc, list[i].route = loc, r.Route
	if len(b.origins) > 0 && b.origins[0].Try < r.Try {
		s.removeOrigins(b)
	} else if replaced != (location{}) {
		s.removeLive(replaced)
	}
	b.origins = list
	s.addLive(loc)
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
			s.memory -= streamMemory(k)
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

func streamMemory(k turnKey) int64 { return int64(originOverheadBytes + len(k.turn)) }

func (o originState) record(k turnKey, expiresAt int64) Record {
	return Record{
		Kind: Begin, Customer: k.customer, Attempt: k.turn, Route: o.route,
		Service: o.Service, Software: o.Software, Try: o.Try, ExpiresAt: expiresAt,
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
	if b.origins[0].Try != r.Try {
		return b.origins[0].Try > r.Try
	}
	return len(b.origins) == maxOrigins || b.origins[0].Origin == r.origin()
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
