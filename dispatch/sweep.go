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
func (s *Scheduler) Sweep() {
	now := time.Now()
	s.sweepCount++
	for id, u := range s.upstreams {
		c, ok := s.Upstream(id)
		if !ok {
			c = u.config
			c.Leaving = true
		}
		u.config = c
		if u.frozen && s.Owns != nil && s.Owns(id) {
			// The handover failed and this VM is still the owner.
			u.frozen = false
		}
		u.cache.size = c.Cache
		u.cache.evict()
		u.forgetReplies(now)
		s.expireTickets(u, now)
		if u.unavailable() {
			s.redirectQueued(u, now)
		}
		s.grantQueued(u)
		s.poll(u)
		s.reconcile(u, now)
		if !ok && len(u.tickets) == 0 {
			delete(s.upstreams, id)
		}
	}
}

func (s *Scheduler) expireTickets(u *upstream, now time.Time) {
	for _, t := range u.tickets {
		if now.Before(t.Expiry) {
			continue
		}
		u.removeTicket(t)
		s.emit(event.TicketExpired, "upstream", u.config.ID, "ticket", t.ID)
		s.checkEngine(u)
	}
}

// recordFailure counts a failure. If it opens the breaker, queued requests are redirected and a probe is scheduled.
func (s *Scheduler) recordFailure(u *upstream, crashed bool) {
	if !u.breaker.recordFailure(crashed) {
		return
	}
	s.emit(event.UpstreamDown, "upstream", u.config.ID)
	s.redirectQueued(u, time.Now())
	s.scheduleProbe(u)
}

// redirectQueued answers all queued requests with ChooseAgain, so that their callers choose again.
func (s *Scheduler) redirectQueued(u *upstream, now time.Time) {
	for u.queue.Len() > 0 {
		req := u.queue.items[0]
		u.queue.remove(req)
		u.reply(req, chestnutcleat.AcquireReply{ChooseAgain: true}, now)
	}
}

func (s *Scheduler) scheduleProbe(u *upstream) {
	if u.probing {
		return
	}
	u.probing = true
	s.Loop.After(u.breaker.backoff, func() { s.probe(u) })
}

// probe asks an engine for its load before any request is sent to it. A service has no such call and gets a request as
// its probe.
func (s *Scheduler) probe(u *upstream) {
	u.probing = false
	if s.upstreams[u.config.ID] != u || u.breaker.health != chestnutcleat.HealthDown {
		return
	}
	if u.engine == nil {
		s.startProbing(u)
		return
	}
	u.probing = true
	chestnutcleat.Async(s.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		u.probing = false
		if err != nil {
			u.breaker.backoff = min(maxProbeBackoff, 2*u.breaker.backoff)
			s.scheduleProbe(u)
			return
		}
		s.startProbing(u)
	})
}

func (s *Scheduler) startProbing(u *upstream) {
	u.breaker.startProbing()
	s.emit(event.UpstreamProbed, "upstream", u.config.ID)
	s.grantQueued(u)
}

// checkEngine checks whether an engine still responds after one of its tickets expired; a service gets a failure instead.
func (s *Scheduler) checkEngine(u *upstream) {
	if u.engine == nil {
		s.recordFailure(u, false)
		return
	}
	chestnutcleat.Async(s.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		if err != nil && s.upstreams[u.config.ID] == u {
			s.recordFailure(u, true)
		}
	})
}

// poll reads an engine's load report and cache events.
func (s *Scheduler) poll(u *upstream) {
	if u.engine == nil || u.polling || s.sweepCount%sweepsPerPoll != 0 || u.breaker.health == chestnutcleat.HealthDown {
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
	chestnutcleat.Async(s.Loop, engineTimeout, work, func(r result, err error) {
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
