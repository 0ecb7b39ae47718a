package ledger

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

type noopObserver struct{}

func (noopObserver) Emit(chestnutcleat.EventID, ...any) {}

// openStore opens the only replica of a set and runs it until the test ends or stop is called.
func openStore(t *testing.T, folder string) (s *Store, stop func()) {
	t.Helper()
	is := is.New(t)
	s, err := Open(folder)
	is.NoErr(err)
	s.Observer = noopObserver{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	stop = func() {
		cancel()
		is.NoErr(<-ended)
		ended <- nil
	}
	t.Cleanup(stop)
	is.NoErr(s.Adopt(ctx, chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: []chestnutcleat.Replica{{Disk: s.disk}}}))
	return s, stop
}

func (s *Store) target() Target { return Target{Disk: s.disk, Version: FirstVersion} }

// appendRecords writes records to a replica.
func appendRecords(t *testing.T, s *Store, list ...*Record) AppendReply {
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

// largeTurn returns a stored turn with a large input.
func largeTurn(id, previous string, size int) *Record {
	r := turnRecord(id, previous)
	r.Input = bytes.Repeat([]byte("x"), size)
	return r
}

func fetchChain(t *testing.T, s *Store, id string) []Turn {
	t.Helper()
	r, err := s.fetch(t.Context(), FetchRequest{Target: s.target(), Customer: "c", Turn: chestnutcleat.RequestID(id)})
	if err != nil {
		t.Fatal(err)
	}
	return r.Turns
}

// Turns may take more than a storage VM's memory: holding inputs and outputs in memory ended the process.
func TestBodiesAreNotHeldInMemory(t *testing.T) {
	s, _ := openStore(t, t.TempDir())
	const turns, size = 2000, 20_000
	before := resources.LiveHeap()
	for i := 0; i < turns; i += 20 {
		var list []*Record
		for j := i; j < i+20; j++ {
			list = append(list, largeTurn(strconv.Itoa(j), "", size))
		}
		appendRecords(t, s, list...)
	}
	grown := int64(resources.LiveHeap()) - int64(before)
	t.Logf("heap grew by %d bytes, usage %+v", grown, s.Usage())
	if grown > turns*size/10 {
		t.Errorf("heap grew by %d bytes for %d bytes on disk", grown, turns*size)
	}
	if n := len(fetchChain(t, s, "1999")); n != 1 {
		t.Errorf("%d turns fetched, want 1", n)
	}
}

// Segments with only expired records must be removed, live records in old segments must be rewritten, and the state must
// be the same after a restart.
func TestCompaction(t *testing.T) { synctest.Test(t, testCompaction) }

func testCompaction(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, stop := openStore(t, folder)
	past := time.Now().Add(-time.Minute).Unix()
	appendRecords(t, s, largeTurn("root", "", 100), reserveRecord("a", 50), settleRecord("a", 20))
	const size = 1 << 20
	for i := range 10 * segmentBytes / size {
		r := largeTurn(fmt.Sprint(i), "", size)
		r.ExpiresAt = past
		appendRecords(t, s, r)
	}
	appendRecords(t, s, largeTurn("leaf", "root", 100), reserveRecord("b", 30))
	before := s.Usage().Disk
	time.Sleep(2 * maintenanceInterval)
	synctest.Wait()
	u := s.Usage()
	t.Logf("%d bytes on disk before, %+v after compaction", before, u)
	is.True(u.Disk < 2*segmentBytes) // expired segments are removed, the first one is rewritten
	check := func(s *Store) {
		t.Helper()
		chain := fetchChain(t, s, "leaf")
		is.Equal(len(chain), 2)
		is.Equal(chain[1].ID, chestnutcleat.RequestID("root"))
		is.Equal(len(chain[1].Input), 100)
		is.Equal(len(fetchChain(t, s, "3")), 0)
		is.Equal(sortByID(s.state.attempts(reserveRecord("c", 1))), []Attempt{{"a", 20, true}, {"b", 30, false}})
		is.True(s.state.complete)
		is.Equal(s.ReplicaSet().Version, FirstVersion)
	}
	check(s)
	stop()
	again, _ := openStore(t, folder)
	check(again)
	is.Equal(again.Usage().Live, u.Live)
}

// A full replica must reject reservations in its reply but accept settlements and the turns of running programs; if its
// process ended instead, it would reject everything.
func TestFullReplicaRejectsReservations(t *testing.T) {
	for name, setLimit := range map[string]func(*Store){
		"memory": func(s *Store) { s.MemoryLimit = 1 },
		"disk":   func(s *Store) { s.DiskLimit = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := openStore(t, t.TempDir())
				appendRecords(t, s, reserveRecord("a", 50))
				setLimit(s)
				r := appendRecords(t, s, settleRecord("a", 20), reserveRecord("b", 30), turnRecord("1", ""))
				is.True(r.Full)
				is.Equal(len(r.Attempts), 0)
				is.Equal(sortByID(s.state.attempts(reserveRecord("c", 1))), []Attempt{{"a", 20, true}})
				is.Equal(len(fetchChain(t, s, "1")), 1)
			})
		})
	}
}

// Reservations that too few replicas accept must fail at once instead of at their deadline; one full replica of three
// must not matter.
func TestWriteFailsWhenTooManyReplicasAreFull(t *testing.T) {
	is := is.New(t)
	c := &Client{Observer: noopObserver{}, replicas: chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: []chestnutcleat.Replica{{Disk: "1"}, {Disk: "2"}, {Disk: "3"}}}}
	c.senders, c.pending = map[chestnutcleat.DiskID]*sender{}, map[*pendingWrite]bool{}
	acknowledge := func(w *pendingWrite, disk chestnutcleat.DiskID, r AppendReply) {
		s := &sender{client: c, replica: chestnutcleat.Replica{Disk: disk}}
		s.acknowledge([]*pendingWrite{w}, &r)
	}
	full, free := AppendReply{Full: true}, AppendReply{Attempts: [][]Attempt{nil}}
	w := newPendingWrite(*reserveRecord("a", 1), time.Time{})
	is.NoErr(c.enqueue(w))
	acknowledge(w, "1", full)
	acknowledge(w, "2", free)
	is.True(!w.finished)
	acknowledge(w, "3", free)
	is.True(w.finished)
	is.NoErr(w.err)
	w = newPendingWrite(*reserveRecord("b", 1), time.Time{})
	is.NoErr(c.enqueue(w))
	acknowledge(w, "1", full)
	acknowledge(w, "3", full)
	<-w.done
	is.Equal(w.err, ErrFull)
}

// A chain larger than a page is returned in parts; the client asks for the rest.
func TestLongChain(t *testing.T) {
	is := is.New(t)
	s, _ := openStore(t, t.TempDir())
	appendRecords(t, s, largeTurn("1", "", maxPageBytes), largeTurn("2", "1", maxPageBytes), largeTurn("3", "2", 10))
	is.Equal(len(fetchChain(t, s, "3")), 1)
	is.Equal(len(fetchChain(t, s, "2")), 1)
}
