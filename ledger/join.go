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

// dump answers a page of the list of all records, as they were when the first page was asked for, or some of them.
func (s *Store) dump(_ context.Context, q DumpRequest) (DumpReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return DumpReply{Standing: st}, err
	}
	d, r, err := s.find(&q)
	if err != nil {
		return DumpReply{}, err
	}
	switch {
	case q.Done:
	case len(q.Want) > 0:
		err = s.pick(d, q.Want, &r)
	default:
		d.list(q.After, &r)
	}
	return r, err
}

// find returns the dump that a request is about, which the first one begins and the last one ends.
func (s *Store) find(q *DumpRequest) (*dump, DumpReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Dump == 0 {
		s.last++
		q.Dump = s.last
		s.dumps[q.Dump] = &dump{records: s.state.records()}
	}
	d := s.dumps[q.Dump]
	if d == nil || q.After < 0 || q.After > len(d.records) {
		return nil, DumpReply{}, fmt.Errorf("dump %d is not known", q.Dump)
	}
	d.expiry = time.Now().Add(dumpTime)
	if q.Done {
		delete(s.dumps, q.Dump)
	}
	return d, DumpReply{Dump: q.Dump, Whole: s.state.whole}, nil
}

// list adds a page of the list.
func (d *dump) list(after int, r *DumpReply) {
	end := min(len(d.records), after+pageBytes/recordBytes)
	r.Records = d.records[after:end]
	r.More = end < len(d.records)
}

// pick adds the first of the wanted records; one that was forgotten meanwhile comes without a kind.
func (s *Store) pick(d *dump, want []int, r *DumpReply) error {
	size := 0
	for _, i := range want {
		if i < 0 || i >= len(d.records) {
			return fmt.Errorf("record %d of %d is wanted", i, len(d.records))
		}
		v, n, err := s.whole(d.records[i])
		if err != nil {
			return err
		}
		if size += n + recordBytes; len(r.Records) > 0 && size > pageBytes {
			return nil
		}
		r.Records = append(r.Records, v)
	}
	return nil
}

// whole returns a listed record with its input and output, and the size of these.
func (s *Store) whole(v Record) (Record, int, error) {
	if v.Kind != Keep {
		return v, 0, nil
	}
	for {
		at, ok := s.placeOf(v.Customer, v.Attempt)
		if !ok {
			return Record{}, 0, nil
		}
		kept, err := s.log.read(at)
		if errors.Is(err, errRemoved) {
			// The record was moved meanwhile.
			continue
		}
		v.Input, v.Output = kept.Input, kept.Output
		return v, len(v.Input) + len(v.Output), err
	}
}

// join copies all records of the set that q.Copies changes from, so that this copy can answer for them.
func (s *Store) join(ctx context.Context, q JoinRequest) (chestnutcleat.Ack, error) {
	if q.Disk != s.disk {
		return chestnutcleat.Ack{}, errOtherDisk
	}
	s.joining.Lock()
	defer s.joining.Unlock()
	if err := s.Adopt(ctx, q.Copies); err != nil {
		return chestnutcleat.Ack{}, err
	}
	s.mu.Lock()
	own, joined, whole := s.state.copies.Version, s.joined, s.state.whole
	s.mu.Unlock()
	if own != q.Copies.Version {
		return chestnutcleat.Ack{}, fmt.Errorf("join set %d: copy has set %d", q.Copies.Version, own)
	}
	if joined == own || whole && q.Copies.Carried() && chestnutcleat.Contains(q.Copies.Disks, s.disk) {
		return chestnutcleat.Ack{}, nil
	}
	if err := s.copyAll(ctx, &q.Copies); err != nil {
		return chestnutcleat.Ack{}, err
	}
	if err := s.write(ctx, []*Record{{Kind: Whole}}); err != nil {
		return chestnutcleat.Ack{}, err
	}
	s.mu.Lock()
	s.joined = own
	s.mu.Unlock()
	s.Observer.Emit(event.CopyJoined, "version", own)
	return chestnutcleat.Ack{}, nil
}

// copyAll copies from a read quorum of the set's present disks; each has adopted the set before it is read. All are listed at
// once, and then read one after the other, so that each record is sent once.
func (s *Store) copyAll(ctx context.Context, set *chestnutcleat.Copies) error {
	lists := make([]*listing, len(set.Disks))
	got := map[chestnutcleat.DiskID]bool{}
	var g errgroup.Group
	for i, c := range set.Disks {
		if c.Disk == s.disk {
			s.mu.Lock()
			got[c.Disk] = s.state.whole
			s.mu.Unlock()
			continue
		}
		g.Go(func() error {
			l, err := s.list(ctx, c, set)
			if err != nil {
				s.copyFailed(c, set, err)
				return nil
			}
			lists[i] = l
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, l := range lists {
		if l == nil {
			continue
		}
		if err := s.copyFrom(ctx, l); err != nil {
			s.copyFailed(l.from, set, err)
			continue
		}
		got[l.from.Disk] = true
	}
	if !set.Read(func(d chestnutcleat.DiskID) bool { return got[d] }) {
		return fmt.Errorf("join set %d: no read quorum of the present copies", set.Version)
	}
	return nil
}

func (s *Store) copyFailed(c chestnutcleat.Copy, set *chestnutcleat.Copies, err error) {
	s.Observer.Emit(event.CopyFailed, "disk", c.Disk, "from", c.VM, "version", set.Version, "error", err)
}

// listing is what another copy holds, without the inputs and outputs of turns.
type listing struct {
	from    chestnutcleat.Copy
	target  Target
	dump    uint64
	records []Record
}

func (s *Store) list(ctx context.Context, c chestnutcleat.Copy, set *chestnutcleat.Copies) (*listing, error) {
	var adopted AdoptReply
	if err := s.call(ctx, c.Address, methodAdopt, AdoptRequest{Disk: c.Disk, Copies: *set}, &adopted); err != nil {
		return nil, err
	}
	if adopted.Copies.Version != set.Version {
		return nil, fmt.Errorf("copy has set %d, expected %d", adopted.Copies.Version, set.Version)
	}
	l := &listing{from: c, target: Target{Disk: c.Disk, Version: set.Version}}
	for {
		r, err := s.page(ctx, l, DumpRequest{After: len(l.records)})
		if err != nil {
			return nil, err
		}
		l.dump = r.Dump
		l.records = append(l.records, r.Records...)
		if !r.More {
			return l, nil
		}
	}
}

// page makes one call of a dump.
func (s *Store) page(ctx context.Context, l *listing, q DumpRequest) (DumpReply, error) {
	q.Target, q.Dump = l.target, l.dump
	var r DumpReply
	if err := s.call(ctx, l.from.Address, methodDump, q, &r); err != nil {
		return DumpReply{}, err
	}
	if r.Newer != nil || r.Behind || !r.Whole {
		return DumpReply{}, fmt.Errorf("copy can't be read at set %d (newer %t, behind %t, whole %t)", q.Version, r.Newer != nil, r.Behind, r.Whole)
	}
	return r, nil
}

// copyFrom takes over the records of another copy that this one lacks.
func (s *Store) copyFrom(ctx context.Context, l *listing) error {
	small, want := s.lacks(l.records)
	if len(small) > 0 {
		if err := s.write(ctx, small); err != nil {
			return err
		}
	}
	for len(want) > 0 {
		r, err := s.page(ctx, l, DumpRequest{Want: want[:min(len(want), maxWant)]})
		if err != nil {
			return err
		}
		if len(r.Records) == 0 {
			return fmt.Errorf("copy sent none of %d records", len(want))
		}
		known := slices.DeleteFunc(pointers(r.Records), func(v *Record) bool { return v.Kind == 0 })
		if err := s.write(ctx, known); err != nil {
			return err
		}
		want = want[len(r.Records):]
	}
	// A dump that is not ended is forgotten after dumpTime.
	_, _ = s.page(ctx, l, DumpRequest{Done: true})
	return nil
}

// maxWant bounds the records that are asked for at once.
const maxWant = 4096

// lacks returns the records of a list that this copy does not hold: those that are complete, and the places of the turns.
func (s *Store) lacks(list []Record) (small []*Record, turns []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		switch r := &list[i]; {
		case s.state.holds(r):
		case r.Kind == Keep:
			turns = append(turns, i)
		default:
			small = append(small, r)
		}
	}
	return small, turns
}

func (s *Store) call(ctx context.Context, to chestnutcleat.Address, m chestnutcleat.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return s.Peers.Call(ctx, to, m, request, reply)
}

// Join asks a copy, which may be this one, to copy all records of the set that changes.
func (s *Store) Join(ctx context.Context, c chestnutcleat.Copy, set chestnutcleat.Copies) error {
	q := JoinRequest{Disk: c.Disk, Copies: set}
	if c.Disk == s.disk {
		_, err := s.join(ctx, q)
		return err
	}
	var ack chestnutcleat.Ack
	return s.Peers.Call(ctx, c.Address, methodJoin, q, &ack)
}
