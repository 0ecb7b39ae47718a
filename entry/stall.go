package entry

import (
	"context"
	"errors"
	"time"
)

// moveCheckInterval is the time between checks whether another instance can take over a request that waits for too long.
const moveCheckInterval = 100 * time.Millisecond

// notStarted is the duration of a timer that is set before its use; it is long enough not to fire until then.
const notStarted = time.Hour

// errStalled is the cause of an attempt that is given up in favour of another instance.
var errStalled = errors.New("instance sends nothing for too long")

// giveUpAfter returns a timer that cancels an attempt after d. While no other instance can take the request over, the attempt goes
// on, as a late answer is better than none; the deadline ends it in any case.
func (c *call) giveUpAfter(ctx context.Context, cancel context.CancelCauseFunc, d time.Duration) *time.Timer {
	// The timer's function runs in its own goroutine, so it must not read the fields of the call that change.
	another := c.instanceRequest("")
	triedMost := len(c.tried) >= maxInstancesTried
	var timer *time.Timer
	check := func() {
		q := another
		q.Version = c.version.Load()
		switch {
		case ctx.Err() != nil, !time.Now().Before(c.deadline):
		case triedMost || !c.Instances.CanPick(q):
			timer.Reset(moveCheckInterval)
		default:
			cancel(errStalled)
		}
	}
	// The function uses the variable, so the timer is started after it is set.
	timer = time.AfterFunc(notStarted, check)
	timer.Reset(d)
	return timer
}
