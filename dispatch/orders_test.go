package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// slowEngine applies each order after a delay and records whether orders overlapped or were issued without reading the
// engine's state first.
type slowEngine struct {
	*fakeEngine
	delay time.Duration
	// fail is the number of orders that return an error although they take effect.
	fail                int
	running             int
	overlap             bool
	stateRead           bool
	orderedWithoutState bool
	first               time.Time
	last                time.Time
	gap                 time.Duration
}

// State implements chestnutcleat.Engine.
func (e *slowEngine) State(ctx context.Context) (chestnutcleat.EngineState, error) {
	e.set(func() { e.stateRead = true })
	return e.fakeEngine.State(ctx)
}

// Order implements chestnutcleat.Engine.
func (e *slowEngine) Order(ctx context.Context, o chestnutcleat.EngineCommand) error {
	fail := false
	e.set(func() {
		e.overlap = e.overlap || e.running > 0
		e.orderedWithoutState = e.orderedWithoutState || !e.stateRead
		e.stateRead = false
		e.running++
		if e.first.IsZero() {
			e.first = time.Now()
		} else if d := time.Since(e.last); e.gap == 0 || d < e.gap {
			e.gap = d
		}
		e.last = time.Now()
		if fail = e.fail > 0; fail {
			e.fail--
		}
	})
	time.Sleep(e.delay)
	e.set(func() { e.running-- })
	if err := e.fakeEngine.Order(ctx, o); err != nil || !fail {
		return err
	}
	return errors.New("the response was lost")
}

// Guards against orders to an engine that ignores fencing while one of the previous owner may still arrive, against
// orders that are not based on the engine's current state, and against two orders at the same time.
func TestOrdersOneAtATime(t *testing.T) {
	const lease, delay = 2 * time.Second, 20 * time.Second
	cases := []struct {
		name    string
		fencing bool
		fail    int
		// wait is the minimum time from the start of ownership to the first order, gap the minimum between two orders.
		wait, gap time.Duration
	}{
		{name: "ignores fencing", wait: lease + delay, gap: 3 * time.Second},
		{name: "ignores fencing, lost responses", fail: 2, wait: lease + delay, gap: delay},
		{name: "checks fencing", fencing: true, gap: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(x *fixture) {
				e := &slowEngine{fakeEngine: x.engine, delay: 3 * time.Second, fail: c.fail}
				x.config.Fencing = c.fencing
				x.config.Models = []chestnutcleat.ModelName{"a", "b", "c"}
				x.scheduler.Engine = func(chestnutcleat.UpstreamID) chestnutcleat.Engine { return e }
				begin := time.Now()
				x.do(func() {
					x.scheduler.Import(chestnutcleat.UpstreamKey(upstreamID).Slot(), nil, chestnutcleat.Transfer{Lost: true})
					x.scheduler.Track(upstreamID)
				})
				time.Sleep(5 * time.Minute)
				synctest.Wait()
				e.set(func() {
					x.Equal(len(e.state.Models), 3)
					x.Equal(len(e.orders), 3)
					x.True(!e.overlap)
					x.True(!e.orderedWithoutState)
					x.True(e.first.Sub(begin) >= c.wait)
					x.True(e.gap >= c.gap)
				})
			})
		})
	}
}

// Guards against model loads that ignore the rate limit of the weight store, and against an engine that stays without
// its model after a load was refused.
func TestLoadsWaitForTheWeightStore(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Fencing = true
		x.config.Models = []chestnutcleat.ModelName{"a"}
		asked, admit := 0, false
		x.scheduler.AdmitLoad = func(done func(bool)) {
			asked++
			done(admit)
		}
		x.do(func() { x.scheduler.Track(upstreamID) })
		time.Sleep(time.Minute)
		synctest.Wait()
		x.do(func() { x.True(asked > 1) })
		x.engine.set(func() { x.Equal(len(x.engine.orders), 0) })
		x.do(func() { admit = true })
		time.Sleep(time.Minute)
		synctest.Wait()
		x.engine.set(func() { x.Equal(len(x.engine.orders), 1) })
	})
}
