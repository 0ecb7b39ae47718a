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
func (s *Scheduler) reconcile(u *upstream, now time.Time) {
	if u.engine == nil || u.orders.inFlight || !s.owns(u) || u.breaker.health == chestnutcleat.HealthDown {
		return
	}
	if u.orders.ownedSince.IsZero() {
		u.orders.ownedSince = now
	}
	if s.sweepCount%sweepsPerReconcile != 0 || !s.previousOrdersExpired(u, now) {
		return
	}
	u.orders.inFlight = true
	chestnutcleat.Async(s.Loop, engineTimeout, u.engine.State, func(state chestnutcleat.EngineState, err error) {
		u.orders.inFlight = false
		if err != nil || !s.owns(u) {
			return
		}
		s.reconcilePins(u, state.Pins, time.Now())
		s.issueNextOrder(u, state)
	})
}

// owns reports whether this VM may issue orders for an upstream now.
func (s *Scheduler) owns(u *upstream) bool {
	return s.upstreams[u.config.ID] == u && (s.Owns == nil || s.Owns(u.config.ID))
}

// previousOrdersExpired reports whether orders of a previous owner can no longer take effect: immediately for an engine
// that checks fencing tokens, otherwise after the lease duration and the order delay.
func (s *Scheduler) previousOrdersExpired(u *upstream, now time.Time) bool {
	if u.config.Fencing {
		return true
	}
	return now.Sub(u.orders.ownedSince) >= s.LeaseDuration+s.OrderDelay
}

// issueNextOrder issues one order if the engine's state differs from the manifest. Loading a model also needs permission
// from AdmitLoad.
func (s *Scheduler) issueNextOrder(u *upstream, state chestnutcleat.EngineState) {
	o, ok := nextOrder(u.config, state)
	if !ok {
		return
	}
	u.orders.inFlight = true
	u.orders.count++
	o.Fence = s.epoch()
	o.ID = chestnutcleat.ChangeID(fmt.Sprintf("%s-%d-%d", u.config.ID, o.Fence, u.orders.count))
	if o.Load == "" || s.AdmitLoad == nil {
		s.sendOrder(u, o)
		return
	}
	s.AdmitLoad(func(admitted bool) {
		if !admitted || !s.owns(u) {
			u.orders.inFlight = false
			return
		}
		s.sendOrder(u, o)
	})
}

func (s *Scheduler) sendOrder(u *upstream, o chestnutcleat.EngineCommand) {
	s.emit(event.OrderIssued, "upstream", u.config.ID, "order", o.ID)
	work := func(ctx context.Context) (struct{}, error) { return struct{}{}, u.engine.Order(ctx, o) }
	chestnutcleat.Async(s.Loop, max(engineTimeout, s.OrderDelay), work, func(_ struct{}, err error) {
		if err != nil {
			s.emit(event.OrderFailed, "upstream", u.config.ID, "order", o.ID, "error", err)
		}
		// A failed order may still take effect within the order delay, so the next one waits that long.
		s.Loop.After(s.orderBackoff(u, err), func() { u.orders.inFlight = false })
	})
}

func (s *Scheduler) orderBackoff(u *upstream, err error) time.Duration {
	if err == nil || u.config.Fencing {
		return 0
	}
	return s.OrderDelay
}

// nextOrder returns the first order that brings an engine closer to the manifest: role, then unloads, then loads.
func nextOrder(c chestnutcleat.Upstream, state chestnutcleat.EngineState) (chestnutcleat.EngineCommand, bool) {
	if c.Role != "" && c.Role != state.Role {
		return chestnutcleat.EngineCommand{Role: c.Role}, true
	}
	if len(c.Models) == 0 {
		return chestnutcleat.EngineCommand{}, false
	}
	for _, m := range state.Models {
		if !slices.Contains(c.Models, m) {
			return chestnutcleat.EngineCommand{Unload: m}, true
		}
	}
	for _, m := range c.Models {
		if !slices.Contains(state.Models, m) {
			return chestnutcleat.EngineCommand{Load: m}, true
		}
	}
	return chestnutcleat.EngineCommand{}, false
}
