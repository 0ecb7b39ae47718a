package caller

import (
	"context"
	"crypto/rand"
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// maxPicks is the maximum number of upstreams that are picked for one attempt.
const maxPicks = 8

// acquireUpstream picks an upstream and waits for a ticket from its owner.
func (c *call) acquireUpstream() (grant, *chestnutcleat.Problem) {
	misfits := c.otherVersions()
	avoid := slices.Concat(c.begin.Avoid, c.avoid, misfits)
	var lastProblem *chestnutcleat.Problem
	// If no other upstream is available, those that failed this call before are tried again.
	fallback := len(c.avoid) > 0
	for range maxPicks {
		if c.ctx.Err() != nil {
			return grant{}, c.stopProblem()
		}
		id, err := c.h.Owners.Pick(chestnutcleat.Pick{
			Route: c.route.Name, Current: c.begin.Upstream, Cached: c.begin.Cached,
			Prompt: c.call.Prompt, Output: c.maxOutput(), Avoid: avoid,
		})
		if err != nil && fallback {
			fallback = false
			avoid = slices.Concat(c.begin.Avoid, misfits)
			continue
		}
		if err != nil {
			if lastProblem != nil {
				return grant{}, lastProblem
			}
			return grant{}, notRunProblem(chestnutcleat.CodeNoUpstream, "no upstream of the route is available").WithRetry(defaultRetryDelay)
		}
		avoid = append(avoid, id)
		u, ok := c.h.Directory.Upstream(id)
		if !ok {
			continue
		}
		g, p := c.requestTicket(u)
		if p == nil {
			return g, nil
		}
		lastProblem = p
		if p.Code != chestnutcleat.CodeNoUpstream && p.Code != chestnutcleat.CodeOwnerUnavailable {
			return grant{}, p
		}
	}
	if lastProblem != nil {
		return grant{}, lastProblem
	}
	return grant{}, notRunProblem(chestnutcleat.CodeBusy, "all upstreams of the route are busy").WithRetry(defaultRetryDelay)
}

// otherVersions returns the route's upstreams whose software version doesn't fit the part of the answer that the caller has.
func (c *call) otherVersions() []chestnutcleat.UpstreamID {
	version, bound := c.exchange.boundTo()
	if !bound {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.route.Upstreams), func(id chestnutcleat.UpstreamID) bool {
		u, ok := c.h.Directory.Upstream(id)
		return ok && u.Version == version
	})
}

// requestTicket requests a ticket for one upstream; after the codes no-upstream and owner-unavailable, acquireUpstream tries another one.
func (c *call) requestTicket(u chestnutcleat.Upstream) (grant, *chestnutcleat.Problem) {
	q := chestnutcleat.AcquireRequest{
		ID: chestnutcleat.RequestID(rand.Text()), Upstream: u.ID,
		Customer: c.call.Customer, Program: c.call.Program, Call: c.call.ID,
		Level: c.level, Started: c.begin.Started, Deadline: c.call.Deadline,
		History: c.call.History, Prompt: c.call.Prompt, Output: c.maxOutput(),
		Repeatable: c.call.Repeatable, Isolated: c.begin.Isolated,
		Timeout: c.route.Timeout.OrDefault(chestnutcleat.DefaultCallTimeout),
	}
	r, err := c.h.Owners.Acquire(c.ctx, q)
	switch {
	case err != nil:
		c.background(func(ctx context.Context) error { return c.h.Owners.Cancel(ctx, q) }, event.TicketLost)
		if c.ctx.Err() != nil {
			return grant{}, c.stopProblem()
		}
		return grant{}, ownerProblem(err, "upstream")
	case r.Problem != nil:
		return grant{}, r.Problem
	case r.ChooseAgain || r.Ticket == nil:
		return grant{}, notRunProblem(chestnutcleat.CodeNoUpstream, "the upstream accepts no more calls").WithRetry(defaultRetryDelay)
	}
	return grant{upstream: u, ticket: *r.Ticket, priority: r.Priority}, nil
}

// maxOutput returns the maximum number of tokens that the call may generate.
func (c *call) maxOutput() chestnutcleat.Tokens {
	if c.begin.Output > 0 && (c.call.Output == 0 || c.begin.Output < c.call.Output) {
		return c.begin.Output
	}
	return c.call.Output
}
