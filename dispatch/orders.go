package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// orders tracks the orders to one engine. At most one order is in flight.
type orders struct {
	inFlight bool
	// ownedSince is when this VM became the owner that issues the engine's orders.
	ownedSince time.Time
	count      int
}

// reconcile reads the engine's state, removes stale pins and issues the next order.
func (b *Scheduler) reconcile(u *upstream, now time.Time) {
	if u.engine == nil || u.orders.inFlight || !b.owns(u) || u.breaker.health == chestnutcleat.HealthDown {
		return
	}
	if u.orders.ownedSince.IsZero() {
		u.orders.ownedSince = now
	}
	if b.sweepCount%sweepsPerReconcile != 0 || !b.previousOrdersExpired(u, now) {
		return
	}
	u.orders.inFlight = true
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.State, func(s chestnutcleat.EngineState, err error) {
		u.orders.inFlight = false
		if err != nil || !b.owns(u) {
			return
		}
		b.reconcilePins(u, s.Pins, time.Now())
		b.issueNextOrder(u, s)
	})
}

// owns reports whether this VM may issue orders for an upstream now.
func (b *Scheduler) owns(u *upstream) bool {
	return b.upstreams[u.config.ID] == u && (b.Owns == nil || b.Owns(u.config.ID))
}

// previousOrdersExpired reports whether orders of a previous owner can no longer take effect: immediately for an engine
// that checks fencing tokens, otherwise after the lease duration and the order delay.
func (b *Scheduler) previousOrdersExpired(u *upstream, now time.Time) bool {
	if u.config.Fencing {
		return true
	}
	return now.Sub(u.orders.ownedSince) >= b.LeaseDuration+b.OrderDelay
}

// issueNextOrder issues one order if the engine's state differs from the manifest. Loading a model also needs permission
// from AdmitLoad.
func (b *Scheduler) issueNextOrder(u *upstream, s chestnutcleat.EngineState) {
	o, ok := nextOrder(u.config, s)
	if !ok {
		return
	}
	u.orders.inFlight = true
	u.orders.count++
	o.Fence = b.epoch()
	o.ID = chestnutcleat.ChangeID(fmt.Sprintf("%s-%d-%d", u.config.ID, o.Fence, u.orders.count))
	if o.Load == "" || b.AdmitLoad == nil {
		b.sendOrder(u, o)
		return
	}
	b.AdmitLoad(func(admitted bool) {
		if !admitted || !b.owns(u) {
			u.orders.inFlight = false
			return
		}
		b.sendOrder(u, o)
	})
}

func (b *Scheduler) sendOrder(u *upstream, o chestnutcleat.EngineCommand) {
	b.emit(event.OrderIssued, "upstream", u.config.ID, "order", o.ID)
	work := func(ctx context.Context) (struct{}, error) { return struct{}{}, u.engine.Order(ctx, o) }
	chestnutcleat.Async(b.Loop, max(engineTimeout, b.OrderDelay), work, func(_ struct{}, err error) {
		if err != nil {
			b.emit(event.OrderFailed, "upstream", u.config.ID, "order", o.ID, "error", err)
		}
		// A failed order may still take effect within the order delay, so the next one waits that long.
		b.Loop.After(b.orderBackoff(u, err), func() { u.orders.inFlight = false })
	})
}

func (b *Scheduler) orderBackoff(u *upstream, err error) time.Duration {
	if err == nil || u.config.Fencing {
		return 0
	}
	return b.OrderDelay
}

// nextOrder returns the first order that brings an engine closer to the manifest: role, then unloads, then loads.
func nextOrder(c chestnutcleat.Upstream, s chestnutcleat.EngineState) (chestnutcleat.EngineCommand, bool) {
	if c.Role != "" && c.Role != s.Role {
		return chestnutcleat.EngineCommand{Role: c.Role}, true
	}
	if len(c.Models) == 0 {
		return chestnutcleat.EngineCommand{}, false
	}
	for _, m := range s.Models {
		if !slices.Contains(c.Models, m) {
			return chestnutcleat.EngineCommand{Unload: m}, true
		}
	}
	for _, m := range c.Models {
		if !slices.Contains(s.Models, m) {
			return chestnutcleat.EngineCommand{Load: m}, true
		}
	}
	return chestnutcleat.EngineCommand{}, false
}
