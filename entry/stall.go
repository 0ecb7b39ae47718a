package entry

import (
	"context"
	"errors"
	"time"
)

// moveCheckInterval is the time between checks whether another instance can take over a request that waits for too long.
const moveCheckInterval = 100 * time.Millisecond

// errStalled is the cause of an attempt that is given up in favour of another instance.
var errStalled = errors.New("instance sends nothing for too long")

// giveUpAfter returns a timer that cancels an attempt after d. While no other instance can take the request over, the attempt goes
// on, as a late answer is better than none; the deadline ends it in any case.
func (c *call) giveUpAfter(ctx context.Context, cancel context.CancelCauseFunc, d time.Duration) *time.Timer {
	others := c.instanceRequest("")
	full := len(c.tried) >= maxInstancesTried
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		other := others
		other.Version = c.version.Load()
		switch {
		case ctx.Err() != nil, !time.Now().Before(c.deadline):
		case full || !c.Instances.CanPick(other):
			timer.Reset(moveCheckInterval)
		default:
			cancel(errStalled)
		}
	})
	timer.Reset(d)
	return timer
}
