package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/place"
)

// attemptTimeoutFactor times the route's latency target is how long an idempotent request waits for one instance before it is sent to
// another one, as a lost response never arrives.
const attemptTimeoutFactor = 3

// serveBuffered serves a request whose response is passed on once it is complete.
func (c *call) serveBuffered() error {
	key := ""
	if c.route.SessionAffinity {
		key = c.Affinity
	}
	for {
		assignment, err := c.pick(key)
		if err != nil {
			return err
		}
		f := c.tryBuffered(assignment)
		if f == nil {
			return nil
		}
		if err := c.retryOrFail(f); err != nil {
			return c.abortIfCallerGone(err)
		}
	}
}

// abortIfCallerGone closes the connection without a response if the caller has disconnected, and returns err otherwise. A handler that
// returned would send an empty success, which a caller that closed only its sending side still reads.
func (c *call) abortIfCallerGone(err error) error {
	if errors.Is(err, errCallerGone) {
		c.log(event.CallerDisconnected)
		panic(http.ErrAbortHandler)
	}
	return err
}

// tryBuffered sends the request to one instance and passes on a complete response.
func (c *call) tryBuffered(assignment *place.Assignment) *failure {
	// Without effect unless a panic passes.
	defer assignment.End(place.Neutral)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	defer c.giveUpAfter(ctx, cancel, c.attemptTimeout()).Stop()
	a, f := c.send(ctx, assignment, c.body, -1)
	if f != nil {
		return f
	}
	defer a.response.Close()
	body, err := c.readBody(a)
	if err != nil {
		return c.endFailed(assignment, err)
	}
	assignment.End(a.outcome())
	c.Crashes.RecordAnswer(c.fingerprint)
	a.response.Close()
	if c.shouldRetryError(a) {
		return c.discardError(a)
	}
	h := c.copyHeader(a)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.writeHeader(a.response.Status)
	// A write error means that the caller has disconnected.
	_, _ = c.w.Write(body)
	c.Metrics.answered(c.route.Type, time.Since(c.Received))
	c.log(event.Answered, "status", a.response.Status, "instance", assignment.ID, "bytes", len(body))
	return nil
}

// attemptTimeout returns the time after which this attempt is given up in favour of another instance, at the latest at the deadline.
func (c *call) attemptTimeout() time.Duration {
	left := time.Until(c.deadline)
	if c.route.Type != config.Idempotent || c.runs+1 >= c.route.MaxAttempts || c.route.LatencyTarget <= 0 {
		return left
	}
	return min(left, attemptTimeoutFactor*c.route.LatencyTarget)
}
