package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// moveCheckInterval is the time between checks whether another instance can take over a request that waits for too long.
const moveCheckInterval = 100 * time.Millisecond

// notStarted is the duration of a timer that is set before its use; it is long enough not to fire until then.
const notStarted = time.Hour

// errStalled is the cause of an attempt that is given up in favour of another instance.
var errStalled = errors.New("instance sends nothing for too long")

// giveUpTimer cancels an attempt that waits for its instance for too long.
type giveUpTimer struct {
	*time.Timer
	// held is set while the attempt waits for something else than its instance.
	held atomic.Bool
}

// hold stops the timer while f runs, after which the attempt has the time d again.
func (g *giveUpTimer) hold(f func() *failure, d func() time.Duration) *failure {
	g.held.Store(true)
	defer func() {
		g.held.Store(false)
		g.Reset(d())
	}()
	return f()
}

// giveUpAfter returns a timer that cancels an attempt after d. While no other instance can take the request over, the attempt goes
// on, as a late answer is better than none; the deadline ends it in any case.
func (c *call) giveUpAfter(ctx context.Context, cancel context.CancelCauseFunc, d time.Duration) *giveUpTimer {
	// The timer's function runs in its own goroutine, so it must not read the fields of the call that change.
	another := c.instanceRequest("")
	triedMost := len(c.tried) >= maxInstancesTried
	g := &giveUpTimer{}
	check := func() {
		q := another
		q.Version = c.version.Load()
		switch {
		case ctx.Err() != nil, !time.Now().Before(c.deadline):
		case g.held.Load(), triedMost, !c.Instances.CanPick(q):
			g.Reset(moveCheckInterval)
		default:
			cancel(errStalled)
		}
	}
	// The function uses the field, so the timer is started after it is set.
	g.Timer = time.AfterFunc(notStarted, check)
	g.Reset(d)
	return g
}
