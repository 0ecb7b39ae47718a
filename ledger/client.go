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
	// ErrNoCopies reports that this VM does not know the copies yet.
	ErrNoCopies = errors.New("copies are not known")
	// ErrUnsure reports that too few copies answered.
	ErrUnsure = errors.New("too few copies answered")
	// ErrFull reports that too many copies have no room for a reservation.
	ErrFull = errors.New("too many copies are full")
)

const (
	// postTime is how long a record that nobody waits for is tried.
	postTime = 5 * time.Second
	// hedge is how long one copy is waited for before the next one is asked as well.
	hedge = 25 * time.Millisecond
)

// Client writes to all copies and reads from enough of them.
type Client struct {
	Peers    chestnutcleat.Peers
	Observer chestnutcleat.Observer
	// Domain is this VM's failure domain, whose copy is read first.
	Domain chestnutcleat.FailureDomain

	mu      sync.Mutex
	copies  chestnutcleat.Copies
	senders map[chestnutcleat.DiskID]*sender
	pending map[*operation]bool
	ctx     context.Context
}

// operation is a record on its way to the copies.
type operation struct {
	record Record
	held   map[chestnutcleat.DiskID]bool
	// refused are the copies that have no room for it.
	refused  map[chestnutcleat.DiskID]bool
	attempts map[chestnutcleat.RequestID]Attempt
	expiry   time.Time
	done     chan struct{}
	finished bool
	// err is set before done is closed if the operation can't succeed.
	err error
}

// Run keeps the senders until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.reconcile()
	c.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Copies returns the set that this VM knows.
func (c *Client) Copies() chestnutcleat.Copies {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies
}

// SetCopies makes a newer set this VM's own.
func (c *Client) SetCopies(set chestnutcleat.Copies) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set.Version <= c.copies.Version {
		return
	}
	c.copies = set
	c.reconcile()
	c.Observer.Emit(event.CopiesKnown, "version", set.Version, "copies", len(set.Disks), "next", len(set.Next))
}

// reconcile starts and stops senders and looks at pending operations anew. It needs the lock.
func (c *Client) reconcile() {
	if c.ctx == nil {
		return
	}
	if c.senders == nil {
		c.senders, c.pending = map[chestnutcleat.DiskID]*sender{}, map[*operation]bool{}
	}
	all := c.copies.All()
	for disk, s := range c.senders {
		if !chestnutcleat.Contains(all, disk) {
			s.cancel()
			delete(c.senders, disk)
		}
	}
	for _, copied := range all {
		if c.senders[copied.Disk] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		s := &sender{client: c, copy: copied, cancel: cancel, wake: make(chan struct{}, 1)}
		for o := range c.pending {
			s.queue = append(s.queue, o)
		}
		c.senders[copied.Disk] = s
		go s.run(ctx)
	}
	for o := range c.pending {
		c.settleOperation(o)
	}
}

// settleOperation ends an operation that a write quorum holds, or that none can as too many copies are full. It needs the lock.
func (c *Client) settleOperation(o *operation) {
	if o.finished {
		return
	}
	switch {
	case c.copies.Written(func(d chestnutcleat.DiskID) bool { return o.held[d] }):
	case len(o.refused) > 0 && !c.copies.Written(func(d chestnutcleat.DiskID) bool { return !o.refused[d] }):
		o.err = ErrFull
	default:
		return
	}
	o.finished = true
	close(o.done)
	delete(c.pending, o)
}

func newOperation(r Record, expiry time.Time) *operation {
	return &operation{
		record: r, held: map[chestnutcleat.DiskID]bool{}, refused: map[chestnutcleat.DiskID]bool{}, attempts: map[chestnutcleat.RequestID]Attempt{},
		expiry: expiry, done: make(chan struct{}),
	}
}

// start queues records for all copies, which get them in one append.
func (c *Client) start(list ...*operation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies.Version == 0 || c.senders == nil {
		return ErrNoCopies
	}
	for _, o := range list {
		c.pending[o] = true
	}
	for _, s := range c.senders {
		s.add(list...)
	}
	return nil
}

// Writable reports whether enough copies to write to answered last time; before the copies are known nothing says otherwise.
func (c *Client) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies.Version == 0 {
		return true
	}
	return c.copies.Written(func(d chestnutcleat.DiskID) bool {
		s := c.senders[d]
		return s != nil && !s.lost
	})
}

// Write is Persist, but fails at once while too few copies answer.
func (c *Client) Write(ctx context.Context, r Record) ([]Attempt, error) {
	if !c.Writable() {
		return nil, ErrUnsure
	}
	return c.Persist(ctx, r)
}

// Persist returns once a write quorum holds the record; a Reserve returns the other attempts of its program. The records beside
// it travel with it, and nobody waits for them.
func (c *Client) Persist(ctx context.Context, r Record, beside ...Record) ([]Attempt, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(postTime)
	}
	o := newOperation(r, deadline)
	all := []*operation{o}
	for _, b := range beside {
		all = append(all, newOperation(b, time.Now().Add(postTime)))
	}
	if err := c.start(all...); err != nil {
		return nil, err
	}
	select {
	case <-o.done:
		if o.err != nil {
			return nil, o.err
		}
	case <-ctx.Done():
		c.drop(o)
		return nil, errors.Join(ErrUnsure, ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Attempt, 0, len(o.attempts))
	for _, a := range o.attempts {
		list = append(list, a)
	}
	return list, nil
}

// Post writes a record that nobody waits for.
func (c *Client) Post(r Record) {
	if err := c.start(newOperation(r, time.Now().Add(postTime))); err != nil {
		c.Observer.Emit(event.RecordLost, "request", r.Attempt, "kind", r.Kind, "error", err)
	}
}

func (c *Client) drop(o *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.finished = true
	delete(c.pending, o)
}
