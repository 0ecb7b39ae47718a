package ledger

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

type silent struct{}

func (silent) Emit(chestnutcleat.EventID, ...any) {}

// openStore opens the only copy of a set and runs it until the test ends or stop is called.
func openStore(t *testing.T, folder string) (s *Store, stop func()) {
	t.Helper()
	is := is.New(t)
	s, err := Open(folder)
	is.NoErr(err)
	s.Observer = silent{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	stop = func() {
		cancel()
		is.NoErr(<-ended)
		ended <- nil
	}
	t.Cleanup(stop)
	is.NoErr(s.Adopt(ctx, chestnutcleat.Copies{Version: FirstVersion, Disks: []chestnutcleat.Copy{{Disk: s.disk}}}))
	return s, stop
}

func (s *Store) target() Target { return Target{Disk: s.disk, Version: FirstVersion} }

// put writes records to a copy.
func put(t *testing.T, s *Store, list ...*Record) AppendReply {
	t.Helper()
	q := AppendRequest{Target: s.target()}
	for _, r := range list {
		q.Records = append(q.Records, *r)
	}
	r, err := s.append(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// large is a kept turn with a large input.
func large(id, previous string, size int) *Record {
	r := kept(id, previous)
	r.Input = bytes.Repeat([]byte("x"), size)
	return r
}

func chainOf(t *testing.T, s *Store, id string) []Turn {
	t.Helper()
	r, err := s.fetch(t.Context(), FetchRequest{Target: s.target(), Customer: "c", Turn: chestnutcleat.RequestID(id)})
	if err != nil {
		t.Fatal(err)
	}
	return r.Turns
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Load: traffic that keeps more than a storage VM has memory for. Inputs and outputs in memory ended the process.
func TestMemoryDoesNotGrowWithBodies(t *testing.T) {
	s, _ := openStore(t, t.TempDir())
	const turns, size = 2000, 20_000
	before := heap()
	for i := 0; i < turns; i += 20 {
		var list []*Record
		for j := i; j < i+20; j++ {
			list = append(list, large(strconv.Itoa(j), "", size))
		}
		put(t, s, list...)
	}
	grown := heap() - before
	t.Logf("%d bytes in memory, account %+v", grown, s.Usage())
	if grown > turns*size/10 {
		t.Errorf("%d bytes in memory for %d on the disk", grown, turns*size)
	}
	if n := len(chainOf(t, s, "1999")); n != 1 {
		t.Errorf("%d turns read", n)
	}
}

// Segments whose records are past must go, and needed ones in them must be moved; what counts is there after a restart.
func TestClean(t *testing.T) { synctest.Test(t, testClean) }

func testClean(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, stop := openStore(t, folder)
	past := time.Now().Add(-time.Minute).Unix()
	put(t, s, large("root", "", 100), reserve("a", 50), settled("a", 20))
	const size = 1 << 20
	for i := range 10 * segmentBytes / size {
		r := large(fmt.Sprint(i), "", size)
		r.Until = past
		put(t, s, r)
	}
	put(t, s, large("leaf", "root", 100), reserve("b", 30))
	full := s.Usage().Disk
	time.Sleep(2 * expiryInterval)
	synctest.Wait()
	u := s.Usage()
	t.Logf("%d bytes on the disk, %+v after", full, u)
	is.True(u.Disk < 2*segmentBytes) // what was past is gone, the first segment moved
	check := func(s *Store) {
		t.Helper()
		chain := chainOf(t, s, "leaf")
		is.Equal(len(chain), 2)
		is.Equal(chain[1].ID, chestnutcleat.RequestID("root"))
		is.Equal(len(chain[1].Input), 100)
		is.Equal(len(chainOf(t, s, "3")), 0)
		is.Equal(sorted(s.state.attempts(reserve("c", 1))), []Attempt{{"a", 20, true}, {"b", 30, false}})
		is.True(s.state.whole)
		is.Equal(s.Copies().Version, FirstVersion)
	}
	check(s)
	stop()
	again, _ := openStore(t, folder)
	check(again)
	is.Equal(again.Usage().Live, u.Live)
}

// A copy without room must refuse reservations in its answer, and go on with settlements and the turns of those that run:
// a process that ended instead would refuse all.
func TestFull(t *testing.T) {
	for name, bound := range map[string]func(*Store){
		"memory": func(s *Store) { s.Memory = 1 },
		"disk":   func(s *Store) { s.Space = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := openStore(t, t.TempDir())
				put(t, s, reserve("a", 50))
				bound(s)
				r := put(t, s, settled("a", 20), reserve("b", 30), kept("1", ""))
				is.True(r.Full)
				is.Equal(len(r.Attempts), 0)
				is.Equal(sorted(s.state.attempts(reserve("c", 1))), []Attempt{{"a", 20, true}})
				is.Equal(len(chainOf(t, s, "1")), 1)
			})
		})
	}
}

// Reservations that too few copies can take must fail at once and not at their deadline; one full copy of three changes nothing.
func TestTooManyFull(t *testing.T) {
	is := is.New(t)
	c := &Client{Observer: silent{}, copies: chestnutcleat.Copies{Version: FirstVersion, Disks: []chestnutcleat.Copy{{Disk: "1"}, {Disk: "2"}, {Disk: "3"}}}}
	c.senders, c.pending = map[chestnutcleat.DiskID]*sender{}, map[*operation]bool{}
	answer := func(o *operation, disk chestnutcleat.DiskID, r AppendReply) {
		s := &sender{client: c, copy: chestnutcleat.Copy{Disk: disk}}
		s.acknowledge([]*operation{o}, &r)
	}
	full, free := AppendReply{Full: true}, AppendReply{Attempts: [][]Attempt{nil}}
	o := newOperation(*reserve("a", 1), time.Time{})
	is.NoErr(c.start(o))
	answer(o, "1", full)
	answer(o, "2", free)
	is.True(!o.finished)
	answer(o, "3", free)
	is.True(o.finished)
	is.NoErr(o.err)
	o = newOperation(*reserve("b", 1), time.Time{})
	is.NoErr(c.start(o))
	answer(o, "1", full)
	answer(o, "3", full)
	<-o.done
	is.Equal(o.err, ErrFull)
}

// A chain above a page comes in parts; the client asks for the rest.
func TestLongChain(t *testing.T) {
	is := is.New(t)
	s, _ := openStore(t, t.TempDir())
	put(t, s, large("1", "", pageBytes), large("2", "1", pageBytes), large("3", "2", 10))
	is.Equal(len(chainOf(t, s, "3")), 1)
	is.Equal(len(chainOf(t, s, "2")), 1)
}
