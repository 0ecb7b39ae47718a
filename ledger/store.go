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
	// diskIDFile holds the id of a data folder.
	diskIDFile = "disk"
	// maintenanceInterval is the time between runs of expiry and compaction.
	maintenanceInterval = 2 * time.Second
	// maxPageBytes bounds a page of a dump; recordOverheadBytes estimates the size of a record without input and output.
	maxPageBytes        = 512 << 10
	recordOverheadBytes = 128
	// dumpIdleTimeout is how long a dump is kept after its last request.
	dumpIdleTimeout = 30 * time.Second
	// slowSync is the duration of a sync that turns notice.
	slowSync = 100 * time.Millisecond
	// joinCallTimeout bounds one call while a replica joins.
	joinCallTimeout = 3 * time.Second
)

var errOtherDisk = errors.New("request is for another disk")

// Store is the replica on one disk.
type Store struct {
	Peers    chestnutcleat.Peers
	Observer chestnutcleat.Observer
	// MemoryLimit limits the index and DiskLimit the log, in bytes; zero means no limit.
	MemoryLimit, DiskLimit int64

	disk        chestnutcleat.DiskID
	log         *diskLog
	commitQueue chan *commit
	// joining has room for one join at a time.
	joining chan struct{}

	mu            sync.Mutex
	state         *state
	joinedVersion chestnutcleat.Version
	dumps         map[uint64]*dump
	lastDumpID    uint64
	// nearLimit is set while usage is near a limit; only Run uses it.
	nearLimit bool
}

// commit is a batch of records that waits to be synced.
type commit struct {
	records []*Record
	done    chan error
}

// dump is a snapshot of all records, those of turns without input and output.
type dump struct {
	records []Record
	expiry  time.Time
}

// Open opens the replica in a data folder. A folder without an id becomes a new disk.
func Open(folder string) (*Store, error) {
	disk, err := loadDiskID(folder)
	if err != nil {
		return nil, err
	}
	s := &Store{disk: disk, commitQueue: make(chan *commit, 256), joining: make(chan struct{}, 1), state: newState(), dumps: map[uint64]*dump{}}
	s.log, err = openLog(folder, s.state.apply)
	if err != nil {
		return nil, err
	}
	s.state.expire(time.Now())
	return s, nil
}

func loadDiskID(folder string) (chestnutcleat.DiskID, error) {
	path := filepath.Join(folder, diskIDFile)
	data, err := os.ReadFile(path)
	if err == nil && len(data) > 0 {
		return chestnutcleat.DiskID(data), nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("read disk id: %w", err)
	}
	// Segments without the id file are from a folder that lost some of its files and can't be trusted.
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return "", err
	}
	for _, n := range numbers {
		if err := os.Remove(segmentPath(folder, n)); err != nil {
			return "", fmt.Errorf("remove log segment without disk id: %w", err)
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
	return chestnutcleat.DiskID(id), syncFolder(folder, (*os.File).Sync)
}

// Disk returns the id of the data folder.
func (s *Store) Disk() chestnutcleat.DiskID { return s.disk }

// ReplicaSet returns the replica set that this replica belongs to.
func (s *Store) ReplicaSet() chestnutcleat.ReplicaSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.replicas
}

// Register adds the replica's methods to a mux.
func (s *Store) Register(m *vm.Mux) {
	vm.Handle(m, methodAppend, s.append)
	vm.Handle(m, methodFetch, s.fetch)
	vm.Handle(m, methodAdopt, s.adopt)
	vm.Handle(m, methodDump, s.dump)
	vm.Handle(m, methodJoin, s.join)
	vm.Handle(m, methodOrigin, s.findOrigins)
}

// Run commits records, runs maintenance and repairs gaps until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	var repair sync.WaitGroup
	repair.Go(func() { s.repair(ctx) })
	defer repair.Wait()
	if n, err := s.log.unreadable(); n > 0 {
		s.Observer.Emit(event.RecordsUnreadable, "records", n, "error", err)
	}
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.log.close()
		case <-t.C:
			s.maintain()
		case c := <-s.commitQueue:
			s.groupCommit(c)
		}
	}
}

// groupCommit writes all waiting batches with one sync.
func (s *Store) groupCommit(first *commit) {
	batch := []*commit{first}
	records := first.records
collect:
	for {
		select {
		case c := <-s.commitQueue:
			batch = append(batch, c)
			records = append(records, c.records...)
		default:
			break collect
		}
	}
	err := s.appendAndApply(records)
	if err != nil {
		s.Observer.Emit(event.LogWriteFailed, "error", err)
	}
	for _, c := range batch {
		c.done <- err
	}
	if err == nil && s.log.activeFull() {
		if err := s.log.startSegment(); err != nil {
			s.Observer.Emit(event.LogWriteFailed, "error", err)
		}
	}
}

// appendAndApply appends records to the log, syncs them and applies them to the state.
func (s *Store) appendAndApply(records []*Record) error {
	locations, err := s.log.append(records)
	s.reportSync(len(records))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range records {
		s.state.apply(r, locations[i])
	}
	return nil
}

// reportSync logs the last sync if it was slow. One goroutine syncs, so there are at most 1 / slowSync lines a second.
func (s *Store) reportSync(records int) {
	if took := s.log.syncTime; took >= slowSync {
		s.Observer.Emit(event.SyncSlow, "disk", s.disk, "took", took.Milliseconds(), "records", records)
	}
}

// write queues records for the log and waits until they are synced.
func (s *Store) write(ctx context.Context, records []*Record) error {
	c := &commit{records: records, done: make(chan error, 1)}
	select {
	case s.commitQueue <- c:
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
	if check, ok, err := s.checkTarget(q.Target); !ok {
		return AppendReply{VersionCheck: check}, err
	}
	records := pointers(q.Records)
	r := AppendReply{Full: s.Full()}
	r.Begun = r.Full && s.hasRoomForOrigins()
	records = slices.DeleteFunc(records, func(v *Record) bool { return r.rejects(v.Kind) })
	if err := s.write(ctx, records); err != nil {
		return AppendReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// If this replica adopted a newer set meanwhile, members of that set may have copied its records before these were
	// written, so these don't count as written under the older set.
	if check, ok := s.compareVersion(q.Target); !ok {
		return AppendReply{VersionCheck: check}, nil
	}
	for _, v := range records {
		if v.Kind == Reserve {
			r.Attempts = append(r.Attempts, s.state.attempts(v))
		}
	}
	return r, nil
}

// fetch returns a turn and as many of its predecessors as fit or are wanted.
func (s *Store) fetch(_ context.Context, q FetchRequest) (FetchReply, error) {
	if check, ok, err := s.checkTarget(q.Target); !ok {
		return FetchReply{VersionCheck: check}, err
	}
	chain, complete := s.locateChain(q.Customer, q.Turn)
	if q.Limit > 0 {
		chain = chain[:min(q.Limit, len(chain))]
	}
	r := FetchReply{Complete: complete}
	size := 0
	for _, loc := range chain {
		if size += loc.bytes; size > maxPageBytes && len(r.Turns) > 0 {
			break
		}
		v, err := s.log.read(loc)
		if errors.Is(err, errRemoved) && len(r.Turns) > 0 {
			// Compaction moved the record; the caller asks again for the rest.
			break
		}
		if err != nil {
			return FetchReply{}, err
		}
		r.Turns = append(r.Turns, Turn{ID: v.Attempt, Previous: v.Previous, Input: v.Input, Output: v.Output})
	}
	return r, nil
}

// locateChain returns the locations of a turn and its predecessors, and whether the replica has all records of earlier sets.
func (s *Store) locateChain(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) (chain []location, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.chainLocations(c, id), s.state.complete
}

// locateTurn returns the location of a turn.
func (s *Store) locateTurn(c chestnutcleat.CustomerID, id chestnutcleat.RequestID) (location, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.state.turns[turnKey{c, id}]
	if t == nil {
		return location{}, false
	}
	return t.loc, true
}
