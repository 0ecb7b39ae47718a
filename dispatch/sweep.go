package dispatch

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// pollSweeps and pinSweeps are how many sweeps lie between two polls of an engine.
	pollSweeps = 4
	pinSweeps  = 40
)

// Sweep frees expired tickets, applies manifest changes and polls engines.
func (b *Book) Sweep() {
	now := time.Now()
	b.sweeps++
	for id, u := range b.upstreams {
		c, ok := b.Upstream(id)
		if !ok {
			c = u.config
			c.Leaving = true
		}
		u.config = c
		if u.frozen && b.Owns != nil && b.Owns(id) {
			// The handover failed and this VM remained the owner.
			u.frozen = false
		}
		u.cache.size = c.Cache
		u.cache.evict()
		u.forget(now)
		b.expireTickets(u, now)
		if u.closed() {
			b.move(u, now)
		}
		b.serve(u)
		b.poll(u)
		b.reconcile(u, now)
		if !ok && len(u.tickets) == 0 {
			delete(b.upstreams, id)
		}
	}
}

func (b *Book) expireTickets(u *upstream, now time.Time) {
	for _, t := range u.tickets {
		if now.Before(t.Expiry) {
			continue
		}
		u.free(t)
		b.emit(event.TicketExpired, "upstream", u.config.ID, "ticket", t.ID)
		b.check(u)
	}
}

// fail counts a failure; when the breaker opens, queued requests move and a probe is planned.
func (b *Book) fail(u *upstream, crashed bool) {
	if !u.breaker.fail(crashed) {
		return
	}
	b.emit(event.UpstreamDown, "upstream", u.config.ID)
	b.move(u, time.Now())
	b.planProbe(u)
}

// move sends all queued requests back to choose another upstream.
func (b *Book) move(u *upstream, now time.Time) {
	for u.queue.Len() > 0 {
		w := u.queue.items[0]
		u.queue.remove(w)
		u.answer(w, chestnutcleat.AcquireReply{Moved: true}, now)
	}
}

func (b *Book) planProbe(u *upstream) {
	if u.probing {
		return
	}
	u.probing = true
	b.Loop.After(u.breaker.pause, func() { b.probe(u) })
}

// probe asks an engine for its load before a request is risked; a service gets one request at once.
func (b *Book) probe(u *upstream) {
	u.probing = false
	if b.upstreams[u.config.ID] != u || u.breaker.health != chestnutcleat.HealthDown {
		return
	}
	if u.engine == nil {
		b.probed(u)
		return
	}
	u.probing = true
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		u.probing = false
		if err != nil {
			u.breaker.pause = min(maxProbePause, 2*u.breaker.pause)
			b.planProbe(u)
			return
		}
		b.probed(u)
	})
}

func (b *Book) probed(u *upstream) {
	u.breaker.probed()
	b.emit(event.UpstreamProbed, "upstream", u.config.ID)
	b.serve(u)
}

// check asks an engine whether it still answers after a ticket did not come back.
func (b *Book) check(u *upstream) {
	if u.engine == nil {
		b.fail(u, false)
		return
	}
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.Load, func(_ chestnutcleat.LoadReport, err error) {
		if err != nil && b.upstreams[u.config.ID] == u {
			b.fail(u, true)
		}
	})
}

// poll reads the engine's load report and cache events.
func (b *Book) poll(u *upstream) {
	if u.engine == nil || u.polling || b.sweeps%pollSweeps != 0 || u.breaker.health == chestnutcleat.HealthDown {
		return
	}
	u.polling = true
	after, running := u.events, len(u.tickets)
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
		u.reported = max(running, len(u.tickets))
		for _, v := range r.events {
			u.events = max(u.events, v.Sequence)
			u.cache.apply(v, time.Now())
		}
	})
}
