package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/place"
)

// patience is how many times its objective an idempotent request waits for one instance before it goes to another one: an
// answer that is lost comes never.
const patience = 3

// plain serves a request whose answer is passed on once it is whole.
func (c *call) plain() error {
	key := ""
	if c.route.Affine {
		key = c.Affinity
	}
	for {
		use, err := c.pick(key)
		if err != nil {
			return err
		}
		f := c.exchange(use)
		if f == nil {
			return nil
		}
		if err := c.after(f); err != nil {
			return c.end(err)
		}
	}
}

// end turns the caller's leaving into no answer.
func (c *call) end(err error) error {
	if errors.Is(err, errAbandoned) {
		c.log(event.Abandoned)
		return nil
	}
	return err
}

// exchange offers the request to one instance and passes a whole answer on.
func (c *call) exchange(use *place.Use) *failure {
	ctx, cancel := context.WithDeadline(c.ctx, c.attemptUntil())
	defer cancel()
	a, f := c.send(ctx, use, c.body, -1)
	if f != nil {
		return f
	}
	defer a.response.Close()
	body, err := a.whole()
	if err != nil {
		return c.broke(use, err)
	}
	use.End(a.verdict())
	a.response.Close()
	if c.again(a) {
		return c.passOver(a)
	}
	h := c.header(a)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(a.response.Status)
	// A caller that left needs no answer.
	_, _ = c.w.Write(body)
	c.Metrics.answered(c.route.Type, time.Since(c.Received))
	c.log(event.Answered, "status", a.response.Status, "instance", use.ID, "bytes", len(body))
	return nil
}

// attemptUntil is when this attempt is given up for another one, or the request's own end.
func (c *call) attemptUntil() time.Time {
	if c.route.Type != config.Idempotent || c.runs+1 >= c.route.Attempts || c.route.Objective <= 0 {
		return c.until
	}
	limit := time.Now().Add(patience * c.route.Objective)
	if limit.After(c.until) {
		return c.until
	}
	return limit
}
