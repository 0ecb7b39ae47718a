package caller

import (
	"context"
	"crypto/rand"
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// maxPicks bounds how often one attempt chooses an upstream.
const maxPicks = 8

// acquire chooses an upstream and waits for its ticket.
func (c *call) acquire() (grant, *chestnutcleat.Problem) {
	avoid := slices.Concat(c.begin.Avoid, c.avoid)
	var last *chestnutcleat.Problem
	// Without another upstream, one that failed before is better than none.
	fallback := len(c.avoid) > 0
	for range maxPicks {
		if c.ctx.Err() != nil {
			return grant{}, c.stopped()
		}
		id, err := c.h.Owners.Pick(chestnutcleat.Pick{
			Route: c.route.Name, Current: c.begin.Upstream, Cached: c.begin.Cached,
			Prompt: c.call.Prompt, Output: c.output(), Avoid: avoid,
		})
		if err != nil && fallback {
			fallback = false
			avoid = slices.Clone(c.begin.Avoid)
			continue
		}
		if err != nil {
			if last != nil {
				return grant{}, last
			}
			return grant{}, refusal(chestnutcleat.CodeNoUpstream, "no upstream of the route is available").WithRetry(retryDefault)
		}
		avoid = append(avoid, id)
		u, ok := c.h.Directory.Upstream(id)
		if !ok {
			continue
		}
		g, p := c.ask(u)
		if p == nil {
			return g, nil
		}
		last = p
		if p.Code != chestnutcleat.CodeNoUpstream && p.Code != chestnutcleat.CodeOwnerLost {
			return grant{}, p
		}
	}
	if last != nil {
		return grant{}, last
	}
	return grant{}, refusal(chestnutcleat.CodeBusy, "all upstreams of the route are busy").WithRetry(retryDefault)
}

// ask requests a ticket of one upstream; a problem with code no-upstream means that another one should be tried.
func (c *call) ask(u chestnutcleat.Upstream) (grant, *chestnutcleat.Problem) {
	q := chestnutcleat.AcquireRequest{
		ID: chestnutcleat.RequestID(rand.Text()), Upstream: u.ID,
		Customer: c.call.Customer, Program: c.call.Program, Call: c.call.ID,
		Level: c.level, Started: c.begin.Started, Deadline: c.call.Deadline,
		History: c.call.History, Prompt: c.call.Prompt, Output: c.output(),
		Repeatable: c.call.Repeatable, Alone: c.begin.Alone,
		Timeout: c.route.Timeout.Or(chestnutcleat.DefaultCallTimeout),
	}
	r, err := c.h.Owners.Acquire(c.ctx, q)
	switch {
	case err != nil:
		c.background(func(ctx context.Context) error { return c.h.Owners.Cancel(ctx, q) }, event.TicketLost)
		if c.ctx.Err() != nil {
			return grant{}, c.stopped()
		}
		return grant{}, ownerProblem(err, "upstream")
	case r.Problem != nil:
		return grant{}, r.Problem
	case r.Moved || r.Ticket == nil:
		return grant{}, refusal(chestnutcleat.CodeNoUpstream, "the upstream takes no more work").WithRetry(retryDefault)
	}
	return grant{upstream: u, ticket: *r.Ticket, priority: r.Priority}, nil
}

// output returns the largest number of tokens that the call may generate.
func (c *call) output() chestnutcleat.Tokens {
	if c.begin.Output > 0 && (c.call.Output == 0 || c.begin.Output < c.call.Output) {
		return c.begin.Output
	}
	return c.call.Output
}
