package ledger

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// dump answers a page of all records, as they were when the first page was asked for.
func (s *Store) dump(_ context.Context, q DumpRequest) (DumpReply, error) {
	if st, ok, err := s.check(q.Target); !ok {
		return DumpReply{Standing: st}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Dump == 0 {
		s.last++
		q.Dump = s.last
		s.dumps[q.Dump] = &dump{records: s.state.records(), expiry: time.Now().Add(dumpTime)}
	}
	d := s.dumps[q.Dump]
	if d == nil || q.After > len(d.records) {
		return DumpReply{}, fmt.Errorf("dump %d is not known", q.Dump)
	}
	r := DumpReply{Dump: q.Dump, Whole: s.state.whole}
	size := 0
	for _, v := range d.records[q.After:] {
		if size > 0 && size+len(v.Input)+len(v.Output) > pageBytes {
			r.More = true
			break
		}
		// Records without input are small but not free.
		size += len(v.Input) + len(v.Output) + 128
		r.Records = append(r.Records, v)
	}
	if !r.More {
		delete(s.dumps, q.Dump)
	}
	return r, nil
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
	own, joined := s.state.copies.Version, s.joined
	s.mu.Unlock()
	if own != q.Copies.Version {
		return chestnutcleat.Ack{}, fmt.Errorf("join set %d: copy has set %d", q.Copies.Version, own)
	}
	if joined == own {
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

// copyAll copies from a read quorum of the set's present disks; each has adopted the set before it is read.
func (s *Store) copyAll(ctx context.Context, set *chestnutcleat.Copies) error {
	got := make([]bool, len(set.Disks))
	var g errgroup.Group
	for i, c := range set.Disks {
		g.Go(func() error {
			if c.Disk == s.disk {
				s.mu.Lock()
				got[i] = s.state.whole
				s.mu.Unlock()
				return nil
			}
			if err := s.copyFrom(ctx, c, set); err != nil {
				s.Observer.Emit(event.CopyFailed, "disk", c.Disk, "from", c.VM, "version", set.Version, "error", err)
				return nil
			}
			got[i] = true
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	answered := func(d chestnutcleat.DiskID) bool {
		for i, c := range set.Disks {
			if c.Disk == d {
				return got[i]
			}
		}
		return false
	}
	if !set.Read(answered) {
		return fmt.Errorf("join set %d: no read quorum of the present copies", set.Version)
	}
	return nil
}

func (s *Store) copyFrom(ctx context.Context, c chestnutcleat.Copy, set *chestnutcleat.Copies) error {
	var adopted AdoptReply
	if err := s.call(ctx, c.Address, methodAdopt, AdoptRequest{Disk: c.Disk, Copies: *set}, &adopted); err != nil {
		return err
	}
	if adopted.Copies.Version != set.Version {
		return fmt.Errorf("copy has set %d, expected %d", adopted.Copies.Version, set.Version)
	}
	q := DumpRequest{Target: Target{Disk: c.Disk, Version: set.Version}}
	for {
		var r DumpReply
		if err := s.call(ctx, c.Address, methodDump, q, &r); err != nil {
			return err
		}
		if r.Newer != nil || r.Behind || !r.Whole {
			return fmt.Errorf("copy can't be read at set %d (newer %t, behind %t, whole %t)", set.Version, r.Newer != nil, r.Behind, r.Whole)
		}
		if missing := s.missing(r.Records); len(missing) > 0 {
			if err := s.write(ctx, missing); err != nil {
				return err
			}
		}
		if !r.More {
			return nil
		}
		q.Dump, q.After = r.Dump, q.After+len(r.Records)
	}
}

// missing returns the records that this copy does not hold.
func (s *Store) missing(list []Record) []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Record
	for i := range list {
		if !s.state.holds(&list[i]) {
			out = append(out, &list[i])
		}
	}
	return out
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
