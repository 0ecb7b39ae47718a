package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// dump returns a page of the list of all records as of the first page, or the requested records of that list.
func (s *Store) dump(_ context.Context, q DumpRequest) (DumpReply, error) {
	if check, ok, err := s.checkTarget(q.Target); !ok {
		return DumpReply{VersionCheck: check}, err
	}
	d, r, err := s.findDump(&q)
	if err != nil {
		return DumpReply{}, err
	}
	switch {
	case q.Done:
	case len(q.Indexes) > 0:
		err = s.addRequested(d, q.Indexes, &r)
	default:
		d.addPage(q.Offset, &r)
	}
	return r, err
}

// findDump returns the dump of a request. The first request creates it and one with Done ends it.
func (s *Store) findDump(q *DumpRequest) (*dump, DumpReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.DumpID == 0 {
		s.lastDumpID++
		q.DumpID = s.lastDumpID
		s.dumps[q.DumpID] = &dump{records: s.state.allRecords()}
	}
	d := s.dumps[q.DumpID]
	if d == nil || q.Offset < 0 || q.Offset > len(d.records) {
		return nil, DumpReply{}, fmt.Errorf("dump %d is not known or does not have the requested page", q.DumpID)
	}
	d.expiry = time.Now().Add(dumpIdleTimeout)
	if q.Done {
		delete(s.dumps, q.DumpID)
	}
	return d, DumpReply{DumpID: q.DumpID, Complete: s.state.complete}, nil
}

// addPage adds a page of the list to a reply.
func (d *dump) addPage(offset int, r *DumpReply) {
	end := min(len(d.records), offset+maxPageBytes/recordOverheadBytes)
	r.Records = d.records[offset:end]
	r.More = end < len(d.records)
}

// addRequested adds as many of the requested records as fit; one that has expired meanwhile is added without a kind.
func (s *Store) addRequested(d *dump, indexes []int, r *DumpReply) error {
	size := 0
	for _, i := range indexes {
		if i < 0 || i >= len(d.records) {
			return fmt.Errorf("requested record %d is not in the list of %d", i, len(d.records))
		}
		v, n, err := s.withBody(d.records[i])
		if err != nil {
			return err
		}
		if size += n + recordOverheadBytes; len(r.Records) > 0 && size > maxPageBytes {
			return nil
		}
		r.Records = append(r.Records, v)
	}
	return nil
}

// withBody returns a listed record with its input and output, and their size.
func (s *Store) withBody(v Record) (Record, int, error) {
	if v.Kind != StoreTurn {
		return v, 0, nil
	}
	for {
		loc, ok := s.locateTurn(v.Customer, v.Attempt)
		if !ok {
			return Record{}, 0, nil
		}
		stored, err := s.log.read(loc)
		if errors.Is(err, errRemoved) {
			// Compaction moved the record; look it up again.
			continue
		}
		v.Input, v.Output = stored.Input, stored.Output
		return v, len(v.Input) + len(v.Output), err
	}
}

// join copies all records of the current replicas in q.ReplicaSet, after which this replica can answer for them.
func (s *Store) join(ctx context.Context, q JoinRequest) (chestnutcleat.Ack, error) {
	if q.Disk != s.disk {
		return chestnutcleat.Ack{}, errOtherDisk
	}
	select {
	case s.joining <- struct{}{}:
		defer func() { <-s.joining }()
	case <-ctx.Done():
		return chestnutcleat.Ack{}, ctx.Err()
	}
	if err := s.Adopt(ctx, q.ReplicaSet); err != nil {
		return chestnutcleat.Ack{}, err
	}
	s.mu.Lock()
	own, joined, complete := s.state.replicas.Version, s.joinedVersion, s.state.complete
	s.mu.Unlock()
	if own != q.ReplicaSet.Version {
		return chestnutcleat.Ack{}, fmt.Errorf("join replica set %d: replica has set %d", q.ReplicaSet.Version, own)
	}
	if joined == own || complete && q.ReplicaSet.KeepsWriteQuorum() && chestnutcleat.Contains(q.ReplicaSet.Disks, s.disk) {
		return chestnutcleat.Ack{}, nil
	}
	if err := s.copyFromQuorum(ctx, &q.ReplicaSet); err != nil {
		return chestnutcleat.Ack{}, err
	}
	if err := s.write(ctx, []*Record{{Kind: Complete}}); err != nil {
		return chestnutcleat.Ack{}, err
	}
	s.mu.Lock()
	s.joinedVersion = own
	s.mu.Unlock()
	s.Observer.Emit(event.ReplicaJoined, "version", own)
	return chestnutcleat.Ack{}, nil
}

// copyFromQuorum copies from a read quorum of the current replicas, each of which adopts the new set before it is read. All
// of them list their records concurrently and then send a part of the turns each. What is missing afterwards, because a replica
// failed meanwhile, is copied from one after the other.
func (s *Store) copyFromQuorum(ctx context.Context, set *chestnutcleat.ReplicaSet) error {
	lists := make([]*listing, len(set.Disks))
	copied := map[chestnutcleat.DiskID]bool{}
	var g errgroup.Group
	for i, replica := range set.Disks {
		if replica.Disk == s.disk {
			s.mu.Lock()
			copied[replica.Disk] = s.state.complete
			s.mu.Unlock()
			continue
		}
		g.Go(func() error {
			l, err := s.listRecords(ctx, replica, set)
			if err != nil {
				s.reportCopyFailed(replica, set, err)
				return nil
			}
			lists[i] = l
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	lists = slices.DeleteFunc(lists, func(l *listing) bool { return l == nil })
	s.copyTurnsConcurrently(ctx, lists)
	for _, l := range lists {
		if err := s.copyMissing(ctx, l); err != nil {
			s.reportCopyFailed(l.from, set, err)
			continue
		}
		copied[l.from.Disk] = true
	}
	if !set.HasReadQuorum(func(d chestnutcleat.DiskID) bool { return copied[d] }) {
		return fmt.Errorf("join replica set %d: no read quorum of the current replicas", set.Version)
	}
	return nil
}

func (s *Store) reportCopyFailed(replica chestnutcleat.Replica, set *chestnutcleat.ReplicaSet, err error) {
	s.Observer.Emit(event.RecordCopyFailed, "disk", replica.Disk, "from", replica.VM, "version", set.Version, "error", err)
}

// listing is the list of another replica's records, without the inputs and outputs of turns.
type listing struct {
	from    chestnutcleat.Replica
	target  Target
	dumpID  uint64
	records []Record
}

func (s *Store) listRecords(ctx context.Context, replica chestnutcleat.Replica, set *chestnutcleat.ReplicaSet) (*listing, error) {
	var adopted AdoptReply
	if err := s.call(ctx, replica.Address, methodAdopt, AdoptRequest{Disk: replica.Disk, ReplicaSet: *set}, &adopted); err != nil {
		return nil, err
	}
	if adopted.ReplicaSet.Version != set.Version {
		return nil, fmt.Errorf("replica has set %d, expected %d", adopted.ReplicaSet.Version, set.Version)
	}
	l := &listing{from: replica, target: Target{Disk: replica.Disk, Version: set.Version}}
	for {
		r, err := s.callDump(ctx, l, DumpRequest{Offset: len(l.records)})
		if err != nil {
			return nil, err
		}
		l.dumpID = r.DumpID
		l.records = append(l.records, r.Records...)
		if !r.More {
			return l, nil
		}
	}
}

// callDump makes one call of a dump.
func (s *Store) callDump(ctx context.Context, l *listing, q DumpRequest) (DumpReply, error) {
	q.Target, q.DumpID = l.target, l.dumpID
	var r DumpReply
	if err := s.call(ctx, l.from.Address, methodDump, q, &r); err != nil {
		return DumpReply{}, err
	}
	if r.Newer != nil || r.Behind || !r.Complete {
		return DumpReply{}, fmt.Errorf("replica can't be read at set %d (newer %t, behind %t, complete %t)", q.Version, r.Newer != nil, r.Behind, r.Complete)
	}
	return r, nil
}

// copyTurnsConcurrently copies the turns that this replica lacks, each from one of the replicas that list it. Errors are left to
// copyMissing, which tries again.
func (s *Store) copyTurnsConcurrently(ctx context.Context, lists []*listing) {
	var g errgroup.Group
	for i, turns := range s.divideTurns(lists) {
		if len(turns) > 0 {
			g.Go(func() error {
				_ = s.copyTurns(ctx, lists[i], turns)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// divideTurns returns the indexes of the missing turns that each replica shall send. A turn goes to the one with the fewest so far
// among those that list it.
func (s *Store) divideTurns(lists []*listing) [][]int {
	type position struct{ list, index int }
	listed := map[turnKey][]position{}
	for i, l := range lists {
		_, turns := s.missingRecords(l.records)
		for _, n := range turns {
			k := turnKey{l.records[n].Customer, l.records[n].Attempt}
			listed[k] = append(listed[k], position{i, n})
		}
	}
	divided := make([][]int, len(lists))
	for _, places := range listed {
		p := slices.MinFunc(places, func(a, b position) int { return len(divided[a.list]) - len(divided[b.list]) })
		divided[p.list] = append(divided[p.list], p.index)
	}
	return divided
}

// copyMissing copies the records of another replica that this one lacks.
func (s *Store) copyMissing(ctx context.Context, l *listing) error {
	attempts, turns := s.missingRecords(l.records)
	if len(attempts) > 0 {
		if err := s.write(ctx, attempts); err != nil {
			return err
		}
	}
	if err := s.copyTurns(ctx, l, turns); err != nil {
		return err
	}
	// Errors are ignored: a dump that is not ended expires after dumpIdleTimeout.
	_, _ = s.callDump(ctx, l, DumpRequest{Done: true})
	return nil
}

// copyTurns copies the turns at the given indexes of another replica's list.
func (s *Store) copyTurns(ctx context.Context, l *listing, turns []int) error {
	for len(turns) > 0 {
		r, err := s.callDump(ctx, l, DumpRequest{Indexes: turns[:min(len(turns), maxRequestedRecords)]})
		if err != nil {
			return err
		}
		if len(r.Records) == 0 {
			return fmt.Errorf("replica sent none of %d requested records", len(turns))
		}
		found := slices.DeleteFunc(pointers(r.Records), func(v *Record) bool { return v.Kind == 0 })
		if err := s.write(ctx, found); err != nil {
			return err
		}
		turns = turns[len(r.Records):]
	}
	return nil
}

// maxRequestedRecords bounds the records requested in one call.
const maxRequestedRecords = 4096

// missingRecords returns what this replica lacks of a list: the records of attempts, and the indexes of the turns.
func (s *Store) missingRecords(list []Record) (attempts []*Record, turns []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		switch r := &list[i]; {
		case s.state.contains(r):
		case r.Kind == StoreTurn:
			turns = append(turns, i)
		default:
			attempts = append(attempts, r)
		}
	}
	return attempts, turns
}

func (s *Store) call(ctx context.Context, to chestnutcleat.Address, m chestnutcleat.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	return s.Peers.Call(ctx, to, m, request, reply)
}

// Join asks a replica, possibly this one, to copy all records of the current set before a change to the next.
func (s *Store) Join(ctx context.Context, replica chestnutcleat.Replica, set chestnutcleat.ReplicaSet) error {
	q := JoinRequest{Disk: replica.Disk, ReplicaSet: set}
	if replica.Disk == s.disk {
		_, err := s.join(ctx, q)
		return err
	}
	var ack chestnutcleat.Ack
	return s.Peers.Call(ctx, replica.Address, methodJoin, q, &ack)
}
