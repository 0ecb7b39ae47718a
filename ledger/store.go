package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// identityFile holds the id of a data folder.
	identityFile = "disk"
	// expiryInterval is the time between looks for records that are past their time.
	expiryInterval = 5 * time.Second
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
}

// commit is a batch of records that waits for its sync.
type commit struct {
	records []*Record
	done    chan error
}

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
	numbers, err := segments(folder)
	if err != nil {
		return "", err
	}
	for _, n := range numbers {
		if err := os.Remove((&diskLog{folder: folder}).path(n)); err != nil {
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
	err := s.log.append(records)
	if err == nil {
		s.mu.Lock()
		for _, r := range records {
			s.state.apply(r)
		}
		s.mu.Unlock()
	} else {
		s.Observer.Emit(event.DiskFailed, "error", err)
	}
	for _, c := range batch {
		c.done <- err
	}
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

// expire forgets old records and begins a new segment when the present one has grown.
func (s *Store) expire() {
	s.mu.Lock()
	s.state.expire(time.Now())
	for id, d := range s.dumps {
		if time.Now().After(d.expiry) {
			delete(s.dumps, id)
		}
	}
	var list []Record
	if s.log.full() {
		list = s.state.records()
		copies := s.state.copies
		list = append(list, Record{Kind: Adopt, Copies: &copies})
		if s.state.whole {
			list = append(list, Record{Kind: Whole})
		}
	}
	s.mu.Unlock()
	if list == nil {
		return
	}
	if err := s.log.rewrite(pointers(list)); err != nil {
		s.Observer.Emit(event.DiskFailed, "error", err)
	}
}

func pointers(list []Record) []*Record {
	out := make([]*Record, len(list))
	for i := range list {
		out[i] = &list[i]
	}
	return out
}

// standing compares a request's set with the copy's own. It needs the lock.
func (s *Store) standing(t Target) (Standing, bool) {
	switch own := s.state.copies; {
	case t.Version < own.Version:
		return Standing{Newer: &own}, false
	case t.Version > own.Version:
		return Standing{Behind: true}, false
	}
	return Standing{}, true
}

func (s *Store) check(t Target) (Standing, bool, error) {
	if t.Disk != s.disk {
		return Standing{}, false, errOtherDisk
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.standing(t)
	return st, ok, nil
}

func (s *Store) append(ctx context.Context, q AppendRequest) (AppendReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return AppendReply{Standing: st}, err
	}
	if err := s.write(ctx, pointers(q.Records)); err != nil {
		return AppendReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A set adopted meanwhile may have been copied without these records, so they don't count as written under the older one.
	if st, ok := s.standing(q.Target); !ok {
		return AppendReply{Standing: st}, nil
	}
	var r AppendReply
	for i := range q.Records {
		if q.Records[i].Kind == Reserve {
			r.Attempts = append(r.Attempts, s.state.attempts(&q.Records[i]))
		}
	}
	return r, nil
}

func (s *Store) fetch(_ context.Context, q FetchRequest) (FetchReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return FetchReply{Standing: st}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return FetchReply{Turns: s.state.chain(q.Customer, q.Turn), Whole: s.state.whole}, nil
}

func (s *Store) adopt(ctx context.Context, q AdoptRequest) (AdoptReply, error) {
	if q.Disk != s.disk {
		return AdoptReply{}, errOtherDisk
	}
	if err := s.Adopt(ctx, q.Copies); err != nil {
		return AdoptReply{}, err
	}
	return AdoptReply{Copies: s.Copies()}, nil
}

// Adopt makes a newer set the copy's own and syncs that.
func (s *Store) Adopt(ctx context.Context, set chestnutcleat.Copies) error {
	s.mu.Lock()
	known := s.state.copies
	whole := s.state.whole
	s.mu.Unlock()
	if set.Version <= known.Version {
		return nil
	}
	records := []*Record{{Kind: Adopt, Copies: &set}}
	if set.Version == FirstVersion && chestnutcleat.Contains(set.Disks, s.disk) && !whole {
		// Nothing was written before the first set.
		records = append(records, &Record{Kind: Whole})
	}
	if err := s.write(ctx, records); err != nil {
		return fmt.Errorf("adopt set %d: %w", set.Version, err)
	}
	s.Observer.Emit(event.CopiesAdopted, "version", set.Version, "before", known.Version, "copies", len(set.Disks), "next", len(set.Next))
	return nil
}

// FirstVersion is the version of the first set.
const FirstVersion chestnutcleat.Version = 1
