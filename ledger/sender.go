package ledger

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// appendTimeout bounds one append; a reachable replica answers within a few milliseconds.
	appendTimeout = 600 * time.Millisecond
	// adoptTimeout bounds sending a replica set.
	adoptTimeout = 500 * time.Millisecond
	// probeInterval is the time between probes of an unreachable replica.
	probeInterval = 150 * time.Millisecond
	// appendRetryDelay is the delay after a failed append.
	appendRetryDelay = 50 * time.Millisecond
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// maxQueuedRecords bounds the queue of one replica.
	maxQueuedRecords = 8192
)

// sender sends records to one replica, one batch at a time.
type sender struct {
	client  *Client
	replica chestnutcleat.Replica
	cancel  context.CancelFunc
	wake    chan struct{}
	// queue is guarded by the client's mu.
	queue []*pendingWrite
	// unreachable is set while the replica does not answer; it is guarded by the client's mu.
	unreachable bool
	// knownVersion is the version of the set that the replica is known to have.
	knownVersion chestnutcleat.Version
}

// enqueue queues writes. The caller holds the client's mu.
func (s *sender) enqueue(list ...*pendingWrite) {
	if len(s.queue) >= maxQueuedRecords {
		// A replica that is unreachable this long can do without the older half: a quorum of the others holds those records.
		older := s.queue[:len(s.queue)/2]
		s.queue = s.queue[len(older):]
		for _, w := range older {
			s.client.forgetOrigin(w)
		}
	}
	s.queue = append(s.queue, list...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	for {
		batch, version := s.nextBatch()
		if len(batch) == 0 {
			if !s.waitForWork(ctx) {
				return
			}
			continue
		}
		err := s.send(ctx, batch, version)
		if ctx.Err() != nil {
			return
		}
		s.setReachability(err)
		if err != nil {
			s.requeue(batch)
			if chestnutcleat.Sleep(ctx, appendRetryDelay) != nil {
				return
			}
		}
	}
}

// waitForWork waits for the next record or, if the replica is unreachable, probes it.
func (s *sender) waitForWork(ctx context.Context) bool {
	if s.isUnreachable() {
		s.knownVersion = 0
		s.setReachability(s.pushReplicaSet(ctx))
		return chestnutcleat.Sleep(ctx, probeInterval) == nil
	}
	select {
	case <-s.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *sender) isUnreachable() bool {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return s.unreachable
}

// nextBatch removes the next batch from the queue and drops expired writes.
func (s *sender) nextBatch() ([]*pendingWrite, chestnutcleat.Version) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now, size, n := time.Now(), 0, 0
	var batch []*pendingWrite
	for _, w := range s.queue {
		if len(batch) == maxBatchRecords || size > maxBatchBytes {
			break
		}
		n++
		if now.After(w.deadline) {
			delete(c.pending, w)
			continue
		}
		size += len(w.record.Input) + len(w.record.Output)
		batch = append(batch, w)
	}
	s.queue = s.queue[n:]
	return batch, c.replicas.Version
}

// requeue puts a batch that the replica did not accept back at the front of the queue, without writes that are finished.
func (s *sender) requeue(batch []*pendingWrite) {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	var unfinished []*pendingWrite
	for _, w := range batch {
		if !w.finished {
			unfinished = append(unfinished, w)
		}
	}
	s.queue = append(unfinished, s.queue...)
}

func (s *sender) send(ctx context.Context, batch []*pendingWrite, version chestnutcleat.Version) error {
	if s.knownVersion < version {
		if err := s.pushReplicaSet(ctx); err != nil {
			return err
		}
	}
	q := AppendRequest{Target: Target{Disk: s.replica.Disk, Version: version}, Records: make([]Record, len(batch))}
	for i, w := range batch {
		q.Records[i] = w.record
	}
	var r AppendReply
	if err := s.call(ctx, appendTimeout, methodAppend, q, &r); err != nil {
		return err
	}
	if r.Newer != nil {
		s.client.SetReplicaSet(*r.Newer)
		s.requeue(batch)
		return nil
	}
	if r.Behind {
		s.knownVersion = 0
		s.requeue(batch)
		return nil
	}
	s.acknowledge(batch, &r)
	return nil
}

// pushReplicaSet makes sure that the replica has this VM's set or a newer one.
func (s *sender) pushReplicaSet(ctx context.Context) error {
	set := s.client.ReplicaSet()
	var r AdoptReply
	if err := s.call(ctx, adoptTimeout, methodAdopt, AdoptRequest{Disk: s.replica.Disk, ReplicaSet: set}, &r); err != nil {
		return err
	}
	s.knownVersion = r.ReplicaSet.Version
	s.client.SetReplicaSet(r.ReplicaSet)
	return nil
}

// acknowledge records which writes of a batch the replica accepted or rejected.
func (s *sender) acknowledge(batch []*pendingWrite, r *AppendReply) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := r.Attempts
	for _, w := range batch {
		if r.rejects(w.record.Kind) {
			w.rejected[s.replica.Disk] = true
			c.completeIfDecided(w)
			continue
		}
		if w.record.Kind == Reserve && len(attempts) > 0 {
			mergeAttempts(w.attempts, attempts[0])
			attempts = attempts[1:]
		}
		w.acked[s.replica.Disk] = true
		c.completeIfDecided(w)
	}
}

// mergeAttempts adds one replica's attempts of a program; a settlement replaces a reservation.
func mergeAttempts(into map[chestnutcleat.RequestID]Attempt, list []Attempt) {
	for _, a := range list {
		if known, ok := into[a.ID]; !ok || !known.Settled {
			into[a.ID] = a
		}
	}
}

func (s *sender) call(ctx context.Context, timeout time.Duration, m chestnutcleat.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.client.Peers.Call(ctx, s.replica.Address, m, request, reply)
}

// setReachability records whether the replica answered and logs when that changes.
func (s *sender) setReachability(err error) {
	s.client.mu.Lock()
	wasUnreachable := s.unreachable
	s.unreachable = err != nil
	s.client.mu.Unlock()
	switch {
	case err != nil && !wasUnreachable:
		s.client.Observer.Emit(event.ReplicaUnreachable, "disk", s.replica.Disk, "copy", s.replica.VM, "error", err)
	case err == nil && wasUnreachable:
		s.client.Observer.Emit(event.ReplicaReachable, "disk", s.replica.Disk, "copy", s.replica.VM)
	}
}
