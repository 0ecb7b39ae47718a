package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func beginRecord(id, version string, try int) *Record {
	return &Record{
		Kind: Begin, Customer: "c", Attempt: chestnutcleat.RequestID(id), Service: "s", Software: chestnutcleat.SoftwareVersion(version), Try: try,
		ExpiresAt: 1 << 40,
	}
}

// withNonce returns a Begin record of another request with the same id.
func withNonce(r *Record, n Nonce) *Record {
	r.Nonce = n
	return r
}

func origin(version string, try int) Origin {
	return Origin{Service: "s", Software: chestnutcleat.SoftwareVersion(version), Try: try}
}

// stateOf returns the state after some records, each at its own place in the log.
func stateOf(list []*Record) *state {
	s := newState()
	for i, r := range list {
		s.apply(r, location{segment: 1, offset: int64(i), bytes: 10})
	}
	return s
}

func (s *state) origins(id string) []Origin {
	var list []Origin
	if b := s.streams[turnKey{"c", chestnutcleat.RequestID(id)}]; b != nil {
		for _, o := range b.origins {
			list = append(list, o.Origin)
		}
	}
	slices.SortFunc(list, func(a, b Origin) int { return len(a.Software) - len(b.Software) })
	return list
}

// Replicas get records in different orders, more than once and from each other. The instance that a caller had events from must win
// at all of them, and two that contradict each other must not become one.
func TestOriginsInAnyOrder(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, seed))
	for name, c := range map[string]struct {
		records []*Record
		want    []Origin
	}{
		"one":                  {[]*Record{beginRecord("a", "v1", 1)}, []Origin{origin("v1", 1)}},
		"empty version":        {[]*Record{beginRecord("a", "", 1)}, []Origin{origin("", 1)}},
		"later try":            {[]*Record{beginRecord("a", "v1", 1), beginRecord("a", "v22", 2)}, []Origin{origin("v22", 2)}},
		"third try":            {[]*Record{beginRecord("a", "v1", 1), beginRecord("a", "v22", 2), beginRecord("a", "v1", 3)}, []Origin{origin("v1", 3)}},
		"contradiction":        {[]*Record{beginRecord("a", "v1", 1), beginRecord("a", "v22", 1)}, []Origin{origin("v1", 1), origin("v22", 1)}},
		"contradiction before": {[]*Record{beginRecord("a", "v1", 1), beginRecord("a", "v22", 1), beginRecord("a", "v1", 2)}, []Origin{origin("v1", 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 50 {
				list := append(slices.Clone(c.records), c.records[r.IntN(len(c.records))], beginRecord("other", "v9", 7))
				r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
				s := stateOf(list)
				is.Equal(s.origins("a"), c.want)
				is.Equal(s.live[1], int64(10*(len(c.want)+1))) // only what is needed counts as live
				for _, v := range c.records {
					is.True(s.contains(v))
				}
				is.Equal(stateOf(pointers(s.allRecords())).origins("a"), c.want) // as another replica copies it
				s.expire(time.Unix(1<<40+1, 0))
				is.Equal(s.memory, int64(0))
				is.Equal(s.streamBytes, int64(0))
				is.Equal(s.live[1], int64(0))
			}
		})
	}
	is := is.New(t)
	s := stateOf([]*Record{beginRecord("a", "v1", 1)})
	is.True(!s.contains(beginRecord("a", "v22", 1)))
	is.True(!s.contains(beginRecord("a", "v1", 2)))
	is.True(!s.contains(beginRecord("b", "v1", 1)))
	is.Equal(len(s.origins("other")), 0)
}

// The origins of streams must survive compactions and restarts, and two that contradict each other must both.
func TestOriginsSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		s, stop := openStore(t, folder)
		gone := beginRecord("gone", "v1", 1)
		gone.ExpiresAt = time.Now().Add(-time.Minute).Unix()
		appendRecords(t, s, gone, beginRecord("a", "v1", 1), beginRecord("b", "v1", 1), beginRecord("b", "v22", 1), beginRecord("a", "v22", 2), largeTurn("root", "", 100))
		const size = 1 << 20
		for i := range 10 * segmentBytes / size {
			r := largeTurn(fmt.Sprint(i), "", size)
			r.ExpiresAt = gone.ExpiresAt
			appendRecords(t, s, r)
		}
		time.Sleep(2 * maintenanceInterval)
		synctest.Wait()
		check := func(s *Store) {
			t.Helper()
			is.Equal(s.state.origins("a"), []Origin{origin("v22", 2)})
			is.Equal(s.state.origins("b"), []Origin{origin("v1", 1), origin("v22", 1)})
			is.Equal(len(s.state.origins("gone")), 0)
		}
		is.True(s.Usage().Disk < 2*segmentBytes) // the first segment was compacted
		check(s)
		live := s.Usage().Live
		stop()
		again, _ := openStore(t, folder)
		check(again)
		is.Equal(again.Usage().Live, live)
	})
}

// A full replica must reject the records of new streams like reservations: nothing limits their number otherwise.
func TestFullReplicaRejectsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := openStore(t, t.TempDir())
		appendRecords(t, s, reserveRecord("a", 50))
		s.MemoryLimit = 1
		is.True(appendRecords(t, s, settleRecord("a", 20), beginRecord("a", "v1", 1)).Full)
		is.Equal(len(s.state.origins("a")), 0)
	})
}

// A replica that is full must still take the origins of streams into room of their own, and no more than that. While it took none, streams
// that began could not be taken up, and a later try of another version waited until the deadline.
func TestFullReplicaHasRoomForOrigins(t *testing.T) {
	const batch = 10
	for name, c := range map[string]struct {
		fill func(s *Store)
		room int
	}{
		"memory": {func(s *Store) { s.MemoryLimit = s.Usage().Memory }, 20},
		"disk":   {func(s *Store) { s.DiskLimit = int64(float64(s.Usage().Disk) / 0.85) }, 20},
		"both, nearly all of the disk": {func(s *Store) {
			s.MemoryLimit, s.DiskLimit = s.Usage().Memory, int64(float64(s.Usage().Disk)/0.95)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := openStore(t, t.TempDir())
				var reservations []*Record
				for i := range 1000 {
					reservations = append(reservations, reserveRecord(fmt.Sprint(i), 50))
				}
				appendRecords(t, s, reservations...)
				c.fill(s)
				is.True(s.Full())
				accepted := 0
				for i := range 20 {
					list := []*Record{reserveRecord("late", 1)}
					for n := range batch {
						list = append(list, beginRecord(fmt.Sprint("b", i, "-", n), "v1", 1))
					}
					r := appendRecords(t, s, list...)
					is.True(r.Full)
					if r.Begun {
						accepted += batch
					}
				}
				is.Equal(len(s.state.streams), accepted)
				is.True(accepted >= c.room)
				is.True(accepted < 20*batch)
				if s.MemoryLimit > 0 {
					is.True(s.Usage().Memory <= s.MemoryLimit+s.MemoryLimit/originMemoryDivisor+batch*2*originOverheadBytes)
				}
				_, late := s.state.programs[programKey{"c", "p"}].attempts["late"]
				is.True(!late)
			})
		})
	}
}

// The origins of a route must outlive restarts and copies, and be forgotten with the last record.
func TestOriginsOfRoute(t *testing.T) {
	is := is.New(t)
	r := beginRecord("a", "v1", 1)
	r.Route = "r"
	s := stateOf([]*Record{r, beginRecord("b", "v2", 1)})
	copied := stateOf(pointers(s.allRecords()))
	for _, s := range []*state{s, copied} {
		_, ok := s.routes[routeOrigin{"r", "s", "v1"}]
		is.True(ok)
		is.Equal(len(s.routes), 2)
	}
	live, ok := s.liveRecord(r, location{segment: 1, bytes: 10})
	is.True(ok)
	is.Equal(live.Route, chestnutcleat.RouteName("r")) // as compaction writes it
	s.expire(time.Unix(1<<40+1, 0))
	is.Equal(len(s.routes), 0)
	is.Equal(s.memory, int64(0))
}

// Two requests with one id must not get each other's software version. The one with more tries won, and the caller of the other got joined
// text. However many there are and in whatever order replicas learn of them, versions that differ contradict each other.
func TestOriginsOfOneIDTwice(t *testing.T) {
	const seed = 9
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	b := func(version string, try int, n Nonce) *Record { return withNonce(beginRecord("a", version, try), n) }
	for name, c := range map[string]struct {
		records []*Record
		want    chestnutcleat.SoftwareVersion // empty for a contradiction
	}{
		"same version":        {[]*Record{b("v1", 1, 1), b("v1", 1, 2)}, "v1"},
		"more tries":          {[]*Record{b("v1", 1, 1), b("v1", 1, 2), b("v2", 2, 2)}, ""},
		"as many tries":       {[]*Record{b("v1", 1, 1), b("v2", 1, 2)}, ""},
		"later tries agree":   {[]*Record{b("v1", 1, 1), b("v2", 2, 1), b("v2", 1, 2)}, "v2"},
		"many":                {[]*Record{b("v1", 1, 1), b("v1", 1, 2), b("v1", 1, 3), b("v1", 1, 4), b("v1", 1, 5), b("v2", 1, 6)}, ""},
		"many, a later try":   {[]*Record{b("v1", 1, 1), b("v1", 1, 2), b("v1", 1, 3), b("v1", 1, 4), b("v1", 1, 5), b("v2", 2, 5)}, ""},
		"many of one version": {[]*Record{b("v1", 1, 1), b("v1", 1, 2), b("v1", 2, 3), b("v1", 1, 4), b("v1", 1, 5)}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 50 {
				list := append(slices.Clone(c.records), c.records[random.IntN(len(c.records))])
				random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
				s := stateOf(list)
				for _, s := range []*state{s, stateOf(pointers(s.allRecords()))} {
					kept := s.streams[turnKey{"c", "a"}].origins
					got, ok := agreedOrigin(kept)
					is.Equal(got.Software, c.want)
					is.Equal(ok, c.want != "")
					is.True(len(kept) <= maxOrigins)
					is.Equal(s.live[1], int64(10*len(kept)))
				}
			}
		})
	}
}
