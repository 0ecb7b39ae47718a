package role

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"chestnutcleat.example/chestnutcleat/mirror"
)

const (
	// maxFleetCheckGap is the time between two updates of trackFleet from which this VM counts as having been paused.
	maxFleetCheckGap = 5 * fleetCheckInterval
	// maxUnconfirmedIntervals and unconfirmedSlack bound the time for which the list of instances may be unconfirmed: that many intervals
	// between the lists of all VMs, and the time that news of them takes.
	maxUnconfirmedIntervals = 3
	unconfirmedSlack        = time.Second
)

var (
	errPaused       = errors.New("this VM stood still")
	errUnreachable  = errors.New("the platform does not answer")
	errNotConfirmed = errors.New("no VM's list of instances is known to match")
)

// instanceFollower tells whether this VM follows the list of instances without a gap, in which registrations may come and go unseen.
type instanceFollower struct {
	mirror *mirror.Mirror
	// lists shares a list between the requests that wait for one.
	lists singleflight.Group

	mu sync.Mutex
	// lastCheck is the time of the last check; zero before the first.
	lastCheck time.Time
}

// check returns an error if registrations may have been missed since the last check. It is called every fleetCheckInterval.
func (f *instanceFollower) check() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := f.paused()
	f.lastCheck = time.Now()
	return errors.Join(paused, f.current())
}

// paused returns an error if the last check was too long ago. The caller holds mu.
func (f *instanceFollower) paused() error {
	if gap := time.Since(f.lastCheck); gap > maxFleetCheckGap {
		return fmt.Errorf("%w for %v", errPaused, gap)
	}
	return nil
}

// current returns an error if the list may be old. A VM that doesn't watch makes no calls that could fail: it relies on what others confirm.
func (f *instanceFollower) current() error {
	if f.mirror.Unreachable() {
		return errUnreachable
	}
	limit := maxUnconfirmedIntervals*f.mirror.ConfirmInterval + unconfirmedSlack
	if age, ok := f.mirror.Confirmed(); !ok || age > limit {
		return fmt.Errorf("%w for %v", errNotConfirmed, age)
	}
	return nil
}

// confirm asks the platform for the list of instances and returns an error if it, or this VM's own knowledge, may be incomplete.
func (f *instanceFollower) confirm(ctx context.Context) error {
	f.mu.Lock()
	err := errors.Join(f.paused(), f.current())
	f.mu.Unlock()
	if err != nil {
		return err
	}
	answer := f.lists.DoChan("", func() (any, error) { return nil, f.list() })
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case r := <-answer:
		return r.Err
	}
}

// list lists the instances, for all requests that wait for it.
func (f *instanceFollower) list() error {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	return f.mirror.Refresh(ctx)
}
