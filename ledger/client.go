package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

var (
	// ErrNoReplicaSet is returned while this VM does not know the replica set.
	ErrNoReplicaSet = errors.New("replica set is not known")
	// ErrNoQuorum is returned when too few replicas answered.
	ErrNoQuorum = errors.New("too few copies answered")
	// ErrFull is returned when too many replicas have no room for a reservation.
	ErrFull = errors.New("too many replicas are full")
	// ErrCircular is returned for a chain of turns that leads back to one of its turns.
	ErrCircular = errors.New("chain of turns is circular")
	// ErrBrokenChain is returned for a turn of which a read quorum lacks a predecessor.
	ErrBrokenChain = errors.New("chain of turns lacks a turn")
)

const (
	// asyncWriteTimeout is how long a write that no caller waits for is retried, except the origin of a stream.
	asyncWriteTimeout = 5 * time.Second
	// flushCheckInterval is the time between checks whether all records are written.
	flushCheckInterval = 5 * time.Millisecond
	// hedgeDelay is how long a read waits for one replica before the next one is asked as well.
	hedgeDelay = 25 * time.Millisecond
)

// Client writes records to all replicas and reads turns from as many as it needs.
type Client struct {
	Peers    chestnutcleat.Peers
	Observer chestnutcleat.Observer
	// Domain is this VM's failure domain; replicas in it are read first.
	Domain chestnutcleat.FailureDomain

	mu       sync.Mutex
	replicas chestnutcleat.ReplicaSet
	senders  map[chestnutcleat.DiskID]*sender
	pending  map[*pendingWrite]bool
	ctx      context.Context
}

// pendingWrite is a record that is being written to the replicas.
type pendingWrite struct {
	record Record
	acked  map[chestnutcleat.DiskID]bool
	// rejected are the replicas that have no room for the record.
	rejected map[chestnutcleat.DiskID]bool
	attempts map[chestnutcleat.RequestID]Attempt
	deadline time.Time
	done     chan struct{}
	finished bool
	// err is set before done is closed if the write can't succeed.
	err error
}

// Run runs a sender for each replica until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.reconcile()
	c.mu.Unlock()
	<-ctx.Done()
	return nil
}

// ReplicaSet returns the replica set that this VM knows.
func (c *Client) ReplicaSet() chestnutcleat.ReplicaSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas
}

// SetReplicaSet replaces this VM's replica set by a newer one.
func (c *Client) SetReplicaSet(set chestnutcleat.ReplicaSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set.Version <= c.replicas.Version {
		return
	}
	c.replicas = set
	c.reconcile()
	c.Observer.Emit(event.ReplicaSetChanged, "version", set.Version, "copies", len(set.Disks), "next", len(set.NextDisks))
}

// reconcile starts and stops senders to match the replica set and re-evaluates pending writes. The caller holds mu.
func (c *Client) reconcile() {
	if c.ctx == nil {
		return
	}
	if c.senders == nil {
		c.senders, c.pending = map[chestnutcleat.DiskID]*sender{}, map[*pendingWrite]bool{}
	}
	all := c.replicas.All()
	for disk, s := range c.senders {
		if !chestnutcleat.Contains(all, disk) {
			s.cancel()
			delete(c.senders, disk)
		}
	}
	for _, replica := range all {
		if c.senders[replica.Disk] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		s := &sender{client: c, replica: replica, cancel: cancel, wake: make(chan struct{}, 1)}
		for w := range c.pending {
			s.queue = append(s.queue, w)
		}
		c.senders[replica.Disk] = s
		go s.run(ctx)
	}
	for w := range c.pending {
		c.completeIfDecided(w)
	}
}

// completeIfDecided completes a write that a write quorum holds, or fails it if too many replicas are full. The caller holds mu.
func (c *Client) completeIfDecided(w *pendingWrite) {
	if w.finished {
		return
	}
	switch {
	case c.replicas.HasWriteQuorum(func(d chestnutcleat.DiskID) bool { return w.acked[d] }):
	case len(w.rejected) > 0 && !c.replicas.HasWriteQuorum(func(d chestnutcleat.DiskID) bool { return !w.rejected[d] }):
		w.err = ErrFull
	default:
		return
	}
	w.finished = true
	close(w.done)
	delete(c.pending, w)
}

func newPendingWrite(r Record, deadline time.Time) *pendingWrite {
	return &pendingWrite{
		record: r, acked: map[chestnutcleat.DiskID]bool{}, rejected: map[chestnutcleat.DiskID]bool{}, attempts: map[chestnutcleat.RequestID]Attempt{},
		deadline: deadline, done: make(chan struct{}),
	}
}

// enqueue queues writes for all replicas, which receive them in one append.
func (c *Client) enqueue(list ...*pendingWrite) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicas.Version == 0 || c.senders == nil {
		return ErrNoReplicaSet
	}
	for _, w := range list {
		c.pending[w] = true
	}
	for _, s := range c.senders {
		s.enqueue(list...)
	}
	return nil
}

// Writable reports whether a write quorum answered when last tried; it is true until the replica set is known.
func (c *Client) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicas.Version == 0 {
		return true
	}
	return c.replicas.HasWriteQuorum(func(d chestnutcleat.DiskID) bool {
		s := c.senders[d]
		return s != nil && !s.unreachable
	})
}

// Write is a record that may be waited for after it was sent.
type Write struct{ pending *pendingWrite }

// NewWrite returns a write of a record, which is sent later. The origin of a stream is written as long as anybody may ask for it, as one
// that is on record late is better than none.
func NewWrite(r Record) *Write {
	deadline := time.Now().Add(asyncWriteTimeout)
	if r.Kind == Begin {
		deadline = time.Unix(r.ExpiresAt, 0)
	}
	return &Write{pending: newPendingWrite(r, deadline)}
}

// Wait returns nil once a write quorum holds the record. The write goes on if ctx ends.
func (w *Write) Wait(ctx context.Context) error {
	select {
	case <-w.pending.done:
		return w.pending.err
	case <-ctx.Done():
		return errors.Join(ErrNoQuorum, ctx.Err())
	}
}

// Send sends a write without waiting for the result.
func (c *Client) Send(w *Write) error { return c.enqueue(w.pending) }

// TryWrite is like Persist, but fails at once while no write quorum answers.
func (c *Client) TryWrite(ctx context.Context, r Record, along ...*Write) ([]Attempt, error) {
	if !c.Writable() {
		return nil, ErrNoQuorum
	}
	return c.Persist(ctx, r, along...)
}

// Persist returns once a write quorum holds the record; for a Reserve record it returns the other attempts of the
// program. The other writes are sent in the same append; their results are not waited for.
func (c *Client) Persist(ctx context.Context, r Record, along ...*Write) ([]Attempt, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(asyncWriteTimeout)
	}
	w := newPendingWrite(r, deadline)
	all := []*pendingWrite{w}
	for _, other := range along {
		all = append(all, other.pending)
	}
	if err := c.enqueue(all...); err != nil {
		return nil, err
	}
	select {
	case <-w.done:
		if w.err != nil {
			return nil, w.err
		}
	case <-ctx.Done():
		c.abandon(w)
		return nil, errors.Join(ErrNoQuorum, ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	return list, nil
}

// WriteAsync writes a record without waiting for the result.
func (c *Client) WriteAsync(r Record) {
	if err := c.enqueue(newPendingWrite(r, time.Now().Add(asyncWriteTimeout))); err != nil {
		c.Observer.Emit(event.RecordLost, "request", r.Attempt, "kind", r.Kind, "error", err)
	}
}

// Flush waits until no record is left to be written or ctx is done, and returns the number of records left.
func (c *Client) Flush(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.pending)
		c.mu.Unlock()
		if left == 0 || chestnutcleat.Sleep(ctx, flushCheckInterval) != nil {
			return left
		}
	}
}

// forgetOrigin gives up the origin of a stream that a replica's queue had no room for; others may still write it. While no quorum answers,
// origins would pile up until they expire. The caller holds mu.
func (c *Client) forgetOrigin(w *pendingWrite) {
	if w.record.Kind == Begin {
		delete(c.pending, w)
	}
}

func (c *Client) abandon(w *pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.finished = true
	delete(c.pending, w)
}
