package dispatch

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// sweepsPerPoll is the number of sweeps between two polls of an engine's load and cache events, sweepsPerReconcile
	// between two reconciliations of its models, role and pins.
	sweepsPerPoll      = 4
	sweepsPerReconcile = 40
)

// Sweep expires tickets, applies manifest changes, polls engines and reconciles their state.
func (b *Scheduler) Sweep() {
	now := time.Now()
	b.sweepCount++
	for id, u := range b.upstreams {
		c, ok := b.Upstream(id)
		if !ok {
			c = u.config
			c.Leaving = true
		}
		u.config = c
		if u.frozen && b.Owns != nil && b.Owns(id) {
			// The handover failed and this VM is still the owner.
			u.frozen = false
		}
		u.cache.size = c.Cache
		u.cache.evict()
		u.forgetReplies(now)
		b.expireTickets(u, now)
		if u.unavailable() {
			b.redirectQueued(u, now)
		}
		b.grantQueued(u)
		b.poll(u)
		b.reconcile(u, now)
		if !ok && len(u.tickets) == 0 {
			delete(b.upstreams, id)
		}
	}
}

func (b *Scheduler) expireTickets(u *upstream, now time.Time) {
	for _, t := range u.tickets {
		if now.Before(t.Expiry) {
			continue
		}
		u.removeTicket(t)
		b.emit(event.TicketExpired, "upstream", u.config.ID, "ticket", t.ID)
		b.checkEngine(u)
	}
}

// recordFailure counts a failure. If it opens the breaker, queued requests are redirected and a probe is scheduled.
func (b *Scheduler) recordFailure(u *upstream, crashed bool) {
	if !u.breaker.recordFailure(crashed) {
		return
	}
	b.emit(event.UpstreamDown, "upstream", u.config.ID)
	b.redirectQueued(u, time.Now())
	b.scheduleProbe(u)
}

// redirectQueued answers all queued requests with ChooseAgain, so that their callers choose again.
func (b *Scheduler) redirectQueued(u *upstream, now time.Time) {
	for u.queue.Len() > 0 {
		w := u.queue.items[0]
		u.queue.remove(w)
		u.reply(w, chestnutcleat.AcquireReply{ChooseAgain: true}, now)
	}
}

func (b *Scheduler) scheduleProbe(u *upstream) {
	if u.probing {
		return
	}
	u.probing = true
	b.Loop.After(u.breaker.backoff, func() { b.probe(u) })
}

// probe asks an engine for its load before any request is sent to it. A service has no such call and gets a request as
// its probe.
func (b *Scheduler) probe(u *upstream) {
	u.probing = false
	if b.upstreams[u.config.ID] != u || u.breaker.health != chestnutcleat.HealthDown {
		return
	}
	if u.engine == nil {
		b.startProbing(u)
		return
	}
	u.probing = true
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		u.probing = false
		if err != nil {
			u.breaker.backoff = min(maxProbeBackoff, 2*u.breaker.backoff)
			b.scheduleProbe(u)
			return
		}
		b.startProbing(u)
	})
}

func (b *Scheduler) startProbing(u *upstream) {
	u.breaker.startProbing()
	b.emit(event.UpstreamProbed, "upstream", u.config.ID)
	b.grantQueued(u)
}

// checkEngine checks whether an engine still responds after one of its tickets expired; a service gets a failure instead.
func (b *Scheduler) checkEngine(u *upstream) {
	if u.engine == nil {
		b.recordFailure(u, false)
		return
	}
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		if err != nil && b.upstreams[u.config.ID] == u {
			b.recordFailure(u, true)
		}
	})
}

// poll reads an engine's load report and cache events.
func (b *Scheduler) poll(u *upstream) {
	if u.engine == nil || u.polling || b.sweepCount%sweepsPerPoll != 0 || u.breaker.health == chestnutcleat.HealthDown {
		return
	}
	u.polling = true
	after, running := u.lastEvent, len(u.tickets)
	type result struct {
		load   chestnutcleat.LoadReport
		events []chestnutcleat.CacheEvent
	}
	work := func(ctx context.Context) (result, error) {
		var r result
		var err error
		if r.load, err = u.engine.Load(ctx); err != nil {
			return r, err
		}
		r.events, err = u.engine.Events(ctx, after)
		return r, err
	}
	chestnutcleat.Async(b.Loop, engineTimeout, work, func(r result, err error) {
		u.polling = false
		if err != nil {
			return
		}
		u.report = r.load
		u.ticketsAtReport = max(running, len(u.tickets))
		for _, v := range r.events {
			u.lastEvent = max(u.lastEvent, v.Sequence)
			u.cache.apply(v, time.Now())
		}
	})
}
