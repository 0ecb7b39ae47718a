package ledger

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// appendTimeout bounds one append; a copy answers within a few milliseconds unless it is lost.
	appendTimeout = 600 * time.Millisecond
	// adoptTimeout bounds telling a copy the present set.
	adoptTimeout = 500 * time.Millisecond
	// lostRetry is the time between two looks whether a lost copy is back.
	lostRetry = 150 * time.Millisecond
	// appendRetry is the wait after a failed append.
	appendRetry = 50 * time.Millisecond
	// maxBatch and maxBatchBytes bound one append.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
	// maxWaiting bounds the records that wait for one copy.
	maxWaiting = 8192
)

// sender sends one copy's records, one batch at a time.
type sender struct {
	client *Client
	copy   chestnutcleat.Copy
	cancel context.CancelFunc
	wake   chan struct{}
	// queue is guarded by the client's lock.
	queue []*operation
	// lost is set while the copy does not answer; it is guarded by the client's lock.
	lost bool
	// told is the version of the set that the copy surely has.
	told chestnutcleat.Version
}

// add queues operations. It needs the client's lock.
func (s *sender) add(list ...*operation) {
	if len(s.queue) >= maxWaiting {
		// A copy that is away this long needs the older records no more than any other: a quorum of the others holds them.
		s.queue = s.queue[len(s.queue)/2:]
	}
	s.queue = append(s.queue, list...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	for {
		batch, version := s.take()
		if len(batch) == 0 {
			if !s.idle(ctx) {
				return
			}
			continue
		}
		err := s.send(ctx, batch, version)
		if ctx.Err() != nil {
			return
		}
		s.report(err)
		if err != nil {
			s.putBack(batch)
			if chestnutcleat.Sleep(ctx, appendRetry) != nil {
				return
			}
		}
	}
}

// idle waits for the next record; a lost copy is asked meanwhile whether it is back.
func (s *sender) idle(ctx context.Context) bool {
	if s.isLost() {
		s.told = 0
		s.report(s.tell(ctx))
		return chestnutcleat.Sleep(ctx, lostRetry) == nil
	}
	select {
	case <-s.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *sender) isLost() bool {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return s.lost
}

// take removes the next batch from the queue, without operations that ended before they were sent.
func (s *sender) take() ([]*operation, chestnutcleat.Version) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now, size, n := time.Now(), 0, 0
	var batch []*operation
	for _, o := range s.queue {
		if len(batch) == maxBatch || size > maxBatchBytes {
			break
		}
		n++
		if now.After(o.expiry) {
			delete(c.pending, o)
			continue
		}
		size += len(o.record.Input) + len(o.record.Output)
		batch = append(batch, o)
	}
	s.queue = s.queue[n:]
	return batch, c.copies.Version
}

// putBack queues what a copy did not take; finished operations need this copy no more.
func (s *sender) putBack(batch []*operation) {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	var again []*operation
	for _, o := range batch {
		if !o.finished {
			again = append(again, o)
		}
	}
	s.queue = append(again, s.queue...)
}

func (s *sender) send(ctx context.Context, batch []*operation, version chestnutcleat.Version) error {
	if s.told < version {
		if err := s.tell(ctx); err != nil {
			return err
		}
	}
	q := AppendRequest{Target: Target{Disk: s.copy.Disk, Version: version}, Records: make([]Record, len(batch))}
	for i, o := range batch {
		q.Records[i] = o.record
	}
	var r AppendReply
	if err := s.call(ctx, appendTimeout, methodAppend, q, &r); err != nil {
		return err
	}
	if r.Newer != nil {
		s.client.SetCopies(*r.Newer)
		s.putBack(batch)
		return nil
	}
	if r.Behind {
		s.told = 0
		s.putBack(batch)
		return nil
	}
	s.acknowledge(batch, &r)
	return nil
}

// tell makes sure that the copy has this VM's set or a newer one.
func (s *sender) tell(ctx context.Context) error {
	set := s.client.Copies()
	var r AdoptReply
	if err := s.call(ctx, adoptTimeout, methodAdopt, AdoptRequest{Disk: s.copy.Disk, Copies: set}, &r); err != nil {
		return err
	}
	s.told = r.Copies.Version
	s.client.SetCopies(r.Copies)
	return nil
}

// acknowledge notes which operations of a batch the copy holds.
func (s *sender) acknowledge(batch []*operation, r *AppendReply) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := r.Attempts
	for _, o := range batch {
		if o.record.Kind == Reserve && r.Full {
			o.refused[s.copy.Disk] = true
			c.settleOperation(o)
			continue
		}
		if o.record.Kind == Reserve && len(attempts) > 0 {
			merge(o.attempts, attempts[0])
			attempts = attempts[1:]
		}
		o.held[s.copy.Disk] = true
		c.settleOperation(o)
	}
}

// merge adds what one copy knows of a program; a settlement replaces a reservation.
func merge(into map[chestnutcleat.RequestID]Attempt, list []Attempt) {
	for _, a := range list {
		if known, ok := into[a.ID]; !ok || !known.Settled {
			into[a.ID] = a
		}
	}
}

func (s *sender) call(ctx context.Context, timeout time.Duration, m chestnutcleat.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.client.Peers.Call(ctx, s.copy.Address, m, request, reply)
}

// report takes note, and logs, when a copy is lost and regained.
func (s *sender) report(err error) {
	s.client.mu.Lock()
	was := s.lost
	s.lost = err != nil
	s.client.mu.Unlock()
	switch {
	case err != nil && !was:
		s.client.Observer.Emit(event.CopyLost, "disk", s.copy.Disk, "copy", s.copy.VM, "error", err)
	case err == nil && was:
		s.client.Observer.Emit(event.CopyRegained, "disk", s.copy.Disk, "copy", s.copy.VM)
	}
}
