package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// identityFile holds the id of a data folder.
	identityFile = "disk"
	// expiryInterval is the time between looks for records that are past their time and segments that are not needed.
	expiryInterval = 2 * time.Second
	// pageBytes bounds a page of a dump, and recordBytes is about what a record takes without input and output.
	pageBytes   = 512 << 10
	recordBytes = 128
	// dumpTime is how long a dump may go on.
	dumpTime = 30 * time.Second
	// joinTimeout bounds one call while a copy joins.
	joinTimeout = 3 * time.Second
)

var errOtherDisk = errors.New("request is for another disk")

// Store is the copy of one disk.
type Store struct {
	Peers    chestnutcleat.Peers
	Observer chestnutcleat.Observer
	// Memory bounds the index of the records and Space the log, in bytes; zero is no bound.
	Memory, Space int64

	disk    chestnutcleat.DiskID
	log     *diskLog
	commits chan *commit
	// joining holds one join at a time.
	joining sync.Mutex

	mu     sync.Mutex
	state  *state
	joined chestnutcleat.Version
	dumps  map[uint64]*dump
	last   uint64
	// filling is set while a bound is near; only Run uses it.
	filling bool
}

// commit is a batch of records that waits for its sync.
type commit struct {
	records []*Record
	done    chan error
}

// dump is a list of all records, those of turns without input and output.
type dump struct {
	records []Record
	expiry  time.Time
}

// Open reads a data folder, or makes it a new disk if it is empty.
func Open(folder string) (*Store, error) {
	disk, err := identity(folder)
	if err != nil {
		return nil, err
	}
	s := &Store{disk: disk, commits: make(chan *commit, 256), state: newState(), dumps: map[uint64]*dump{}}
	s.log, err = openLog(folder, s.state.apply)
	if err != nil {
		return nil, err
	}
	s.state.expire(time.Now())
	return s, nil
}

func identity(folder string) (chestnutcleat.DiskID, error) {
	path := filepath.Join(folder, identityFile)
	data, err := os.ReadFile(path)
	if err == nil && len(data) > 0 {
		return chestnutcleat.DiskID(data), nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("read disk id: %w", err)
	}
	// Segments without the id are of a folder that was lost in part; they can't be trusted.
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return "", err
	}
	for _, n := range numbers {
		if err := os.Remove(segmentPath(folder, n)); err != nil {
			return "", fmt.Errorf("remove segment without disk id: %w", err)
		}
	}
	id := rand.Text()
	f, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("write disk id: %w", err)
	}
	_, err = f.WriteString(id)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return "", fmt.Errorf("write disk id: %w", err)
	}
	return chestnutcleat.DiskID(id), syncFolder(folder)
}

// Disk returns the id of the data folder.
func (s *Store) Disk() chestnutcleat.DiskID { return s.disk }

// Copies returns the set that the copy serves.
func (s *Store) Copies() chestnutcleat.Copies {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.copies
}

// Register adds the copy's methods to a mux.
func (s *Store) Register(m *vm.Mux) {
	vm.Handle(m, methodAppend, s.append)
	vm.Handle(m, methodFetch, s.fetch)
	vm.Handle(m, methodAdopt, s.adopt)
	vm.Handle(m, methodDump, s.dump)
	vm.Handle(m, methodJoin, s.join)
}

// Run writes the log until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.log.close()
		case <-t.C:
			s.expire()
		case c := <-s.commits:
			s.commit(c)
		}
	}
}

// commit writes all waiting batches with one sync.
func (s *Store) commit(first *commit) {
	batch := []*commit{first}
	records := first.records
collect:
	for {
		select {
		case c := <-s.commits:
			batch = append(batch, c)
			records = append(records, c.records...)
		default:
			break collect
		}
	}
	err := s.add(records)
	if err != nil {
		s.Observer.Emit(event.DiskFailed, "error", err)
	}
	for _, c := range batch {
		c.done <- err
	}
	if err == nil && s.log.full() {
		if err := s.log.begin(); err != nil {
			s.Observer.Emit(event.DiskFailed, "error", err)
		}
	}
}

// add writes records to the log, syncs them and applies them.
func (s *Store) add(records []*Record) error {
	places, err := s.log.append(records)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range records {
		s.state.apply(r, places[i])
	}
	return nil
}

// write adds records to the log and waits until they are synced.
func (s *Store) write(ctx context.Context, records []*Record) error {
	c := &commit{records: records, done: make(chan error, 1)}
	select {
	case s.commits <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func pointers(list []Record) []*Record {
	out := make([]*Record, len(list))
	for i := range list {
		out[i] = &list[i]
	}
	return out
}

func (s *Store) append(ctx context.Context, q AppendRequest) (AppendReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return AppendReply{Standing: st}, err
	}
	records := pointers(q.Records)
	r := AppendReply{Full: s.Full()}
	if r.Full {
		records = slices.DeleteFunc(records, func(v *Record) bool { return v.Kind == Reserve })
	}
	if err := s.write(ctx, records); err != nil {
		return AppendReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A set adopted meanwhile may have been copied without these records, so they don't count as written under the older one.
	if st, ok := s.standing(q.Target); !ok {
		return AppendReply{Standing: st}, nil
	}
	for _, v := range records {
		if v.Kind == Reserve {
			r.Attempts = append(r.Attempts, s.state.attempts(v))
		}
	}
	return r, nil
}

// fetch answers with a turn and those before it, as many as fit.
func (s *Store) fetch(_ context.Context, q FetchRequest) (FetchReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return FetchReply{Standing: st}, err
	}
	chain, whole := s.places(q.Customer, q.Turn)
	r := FetchReply{Whole: whole}
	size := 0
	for _, at := range chain {
		if size += at.bytes; size > pageBytes && len(r.Turns) > 0 {
			break
		}
		v, err := s.log.read(at)
		if errors.Is(err, errRemoved) && len(r.Turns) > 0 {
			// The record was moved meanwhile; the caller asks again for the rest.
			break
		}
		if err != nil {
			return FetchReply{}, err
		}
		r.Turns = append(r.Turns, Turn{ID: v.Attempt, Previous: v.Previous, Input: v.Input, Output: v.Output})
	}
	return r, nil
}

// places returns where a turn and those before it lie, and whether the copy lacks no record of earlier sets.
func (s *Store) places(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) (chain []place, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.chain(c, id), s.state.whole
}

// placeOf returns where a turn lies.
func (s *Store) placeOf(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) (place, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.state.turns[turnKey{c, id}]
	if t == nil {
		return place{}, false
	}
	return t.at, true
}
