package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// orders is the progress of one engine towards the manifest's state; at most one order runs at a time.
type orders struct {
	busy bool
	// owned is when this VM began to own the engine's orders.
	owned time.Time
	count int
}

// reconcile reads the engine's state and issues the next order.
func (b *Book) reconcile(u *upstream, now time.Time) {
	if u.engine == nil || u.orders.busy || !b.owns(u) || u.breaker.health == chestnutcleat.HealthDown {
		return
	}
	if u.orders.owned.IsZero() {
		u.orders.owned = now
	}
	if b.sweeps%pinSweeps != 0 || !b.ready(u, now) {
		return
	}
	u.orders.busy = true
	chestnutcleat.Async(b.Loop, engineTimeout, u.engine.State, func(s chestnutcleat.EngineState, err error) {
		u.orders.busy = false
		if err != nil || !b.owns(u) {
			return
		}
		b.reconcilePins(u, s.Pins, time.Now())
		b.advance(u, s)
	})
}

// owns tells whether orders for an upstream may be issued now.
func (b *Book) owns(u *upstream) bool {
	return b.upstreams[u.config.ID] == u && (b.Owns == nil || b.Owns(u.config.ID))
}

// ready waits, for engines that ignore fencing tokens, until no order of a previous owner can still arrive.
func (b *Book) ready(u *upstream, now time.Time) bool {
	if u.config.Fencing {
		return true
	}
	return now.Sub(u.orders.owned) >= b.LeaseDuration+b.OrderDelay
}

// advance issues one order if the engine's state differs from the manifest's.
func (b *Book) advance(u *upstream, s chestnutcleat.EngineState) {
	o, ok := nextOrder(u.config, s)
	if !ok {
		return
	}
	u.orders.busy = true
	u.orders.count++
	o.Fence = b.epoch()
	o.ID = chestnutcleat.ChangeID(fmt.Sprintf("%s-%d-%d", u.config.ID, o.Fence, u.orders.count))
	if o.Load == "" || b.TakeLoad == nil {
		b.order(u, o)
		return
	}
	b.TakeLoad(func(admitted bool) {
		if !admitted || !b.owns(u) {
			u.orders.busy = false
			return
		}
		b.order(u, o)
	})
}

func (b *Book) order(u *upstream, o chestnutcleat.Order) {
	b.emit(event.OrderIssued, "upstream", u.config.ID, "order", o.ID)
	work := func(ctx context.Context) (struct{}, error) { return struct{}{}, u.engine.Order(ctx, o) }
	chestnutcleat.Async(b.Loop, max(engineTimeout, b.OrderDelay), work, func(_ struct{}, err error) {
		if err != nil {
			b.emit(event.OrderFailed, "upstream", u.config.ID, "order", o.ID, "error", err)
		}
		// A failed order may still take effect within the order delay; the next one waits for that.
		b.Loop.After(b.pause(u, err), func() { u.orders.busy = false })
	})
}

func (b *Book) pause(u *upstream, err error) time.Duration {
	if err == nil || u.config.Fencing {
		return 0
	}
	return b.OrderDelay
}

// nextOrder returns the first step from an engine's state to the manifest's.
func nextOrder(c chestnutcleat.Upstream, s chestnutcleat.EngineState) (chestnutcleat.Order, bool) {
	if c.Role != "" && c.Role != s.Role {
		return chestnutcleat.Order{Role: c.Role}, true
	}
	if len(c.Models) == 0 {
		return chestnutcleat.Order{}, false
	}
	for _, m := range s.Models {
		if !slices.Contains(c.Models, m) {
			return chestnutcleat.Order{Unload: m}, true
		}
	}
	for _, m := range c.Models {
		if !slices.Contains(s.Models, m) {
			return chestnutcleat.Order{Load: m}, true
		}
	}
	return chestnutcleat.Order{}, false
}
