package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/dispatch"
)

const upstreamID = chestnutcleat.UpstreamID("e1")

// fakeEngine implements the engine's control interface. While failing is set, Load returns an error.
type fakeEngine struct {
	mu      sync.Mutex
	failing bool
	state   chestnutcleat.EngineState
	orders  []chestnutcleat.EngineCommand
	pins    []chestnutcleat.Pin
}

func (e *fakeEngine) Load(context.Context) (chestnutcleat.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing {
		return chestnutcleat.LoadReport{}, errors.New("refused")
	}
	return chestnutcleat.LoadReport{}, nil
}

func (e *fakeEngine) Events(context.Context, chestnutcleat.Sequence) ([]chestnutcleat.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Order(_ context.Context, o chestnutcleat.EngineCommand) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if o.Load != "" {
		e.state.Models = append(e.state.Models, o.Load)
	}
	return nil
}

func (e *fakeEngine) State(context.Context) (chestnutcleat.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Models = slices.Clone(state.Models)
	return state, nil
}

// set runs f with the lock held, as other goroutines read the engine.
func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *fakeEngine) Pin(_ context.Context, p chestnutcleat.Pin) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pins = append(e.pins, p)
	return nil
}

type fixture struct {
	*is.I
	loop      *control.Loop
	scheduler *dispatch.Scheduler
	config    *chestnutcleat.Upstream
	engine    *fakeEngine
	replies   map[string]chestnutcleat.AcquireReply
	order     []string
}

func run(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x := &fixture{I: is.New(t), loop: control.New(), engine: &fakeEngine{}, replies: map[string]chestnutcleat.AcquireReply{}}
		x.config = &chestnutcleat.Upstream{ID: upstreamID, Slots: 1, Cache: 1000, Prefill: 1000, Decode: 10}
		x.scheduler = &dispatch.Scheduler{
			Loop:          x.loop,
			Upstream:      func(chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool) { return *x.config, true },
			Epoch:         func() chestnutcleat.Epoch { return 7 },
			Engine:        func(chestnutcleat.UpstreamID) chestnutcleat.Engine { return x.engine },
			LeaseDuration: 2 * time.Second,
			OrderDelay:    20 * time.Second,
		}
		go x.loop.Run(ctx)
		x.do(x.scheduler.Start)
		f(x)
		x.do(x.scheduler.Stop)
	})
}

func (x *fixture) do(f func()) {
	x.loop.Post(f)
	synctest.Wait()
}

func (x *fixture) acquire(id string, change func(*chestnutcleat.AcquireRequest)) {
	r := chestnutcleat.AcquireRequest{ID: chestnutcleat.RequestID(id), Upstream: upstreamID, Output: 10, Repeatable: true, Timeout: time.Minute}
	if change != nil {
		change(&r)
	}
	x.do(func() {
		x.scheduler.Acquire(r, func(a chestnutcleat.AcquireReply) {
			x.replies[id] = a
			x.order = append(x.order, id)
		})
	})
}

func (x *fixture) release(id string, change func(*chestnutcleat.ReleaseRequest)) {
	r := chestnutcleat.ReleaseRequest{Ticket: *x.replies[id].Ticket, Elapsed: time.Second}
	if change != nil {
		change(&r)
	}
	x.do(func() { x.scheduler.Release(r) })
}

// Guards against a queue that ignores the customer's level or the program's age, and against a second ticket
// for a retried request.
func TestQueueOrder(t *testing.T) {
	run(t, func(x *fixture) {
		start := time.Now()
		at := func(l chestnutcleat.Level, s time.Duration) func(*chestnutcleat.AcquireRequest) {
			return func(r *chestnutcleat.AcquireRequest) { r.Level, r.Started = l, start.Add(s) }
		}
		x.acquire("first", nil)
		x.acquire("behind", at(1, -time.Hour))
		x.acquire("young", at(0, 0))
		x.acquire("old", at(0, -time.Minute))
		x.acquire("old", at(0, -time.Minute))
		x.acquire("first", nil)
		x.release("first", nil)
		x.release("old", nil)
		x.release("young", nil)
		x.Equal(fmt.Sprint(x.order), "[first first old old young behind]")
	})
}

// Guards against requests that stay queued although their deadline has passed or cannot be met.
func TestDeadlines(t *testing.T) {
	run(t, func(x *fixture) {
		x.acquire("first", func(r *chestnutcleat.AcquireRequest) { r.Output = 100 })
		x.acquire("hopeless", func(r *chestnutcleat.AcquireRequest) { r.Deadline = time.Now().Add(time.Second) })
		x.Equal(x.replies["hopeless"].Problem.Code, chestnutcleat.CodeBusy)
		x.Equal(x.replies["hopeless"].Problem.Outcome, chestnutcleat.NotRun)
		x.True(x.replies["hopeless"].Problem.Retry > 0)
		x.acquire("late", func(r *chestnutcleat.AcquireRequest) { r.Deadline = time.Now().Add(8 * time.Second) })
		time.Sleep(8 * time.Second)
		synctest.Wait()
		x.Equal(x.replies["late"].Problem.Code, chestnutcleat.CodeDeadline)
		x.acquire("cancelled", nil)
		x.do(func() { x.scheduler.Cancel("cancelled") })
		x.Equal(x.replies["cancelled"].Problem.Code, chestnutcleat.CodeInterrupted)
	})
}

// Guards against slots that stay occupied after the VM that held the ticket failed.
func TestTicketExpiry(t *testing.T) {
	run(t, func(x *fixture) {
		x.acquire("first", nil)
		x.acquire("second", func(r *chestnutcleat.AcquireRequest) { r.Timeout = time.Hour })
		time.Sleep(time.Minute + 6*time.Second)
		synctest.Wait()
		x.True(x.replies["second"].Ticket != nil)
		x.release("first", nil) // a late return must not free the second ticket's slot
		x.acquire("third", nil)
		x.True(x.replies["third"].Ticket == nil)
	})
}

// Guards against new requests on a leaving upstream.
func TestLeavingUpstreamTakesNoRequests(t *testing.T) {
	run(t, func(x *fixture) {
		x.acquire("first", nil)
		x.acquire("queued", nil)
		x.do(func() { x.config.Leaving = true })
		time.Sleep(time.Second)
		synctest.Wait()
		x.True(x.replies["queued"].ChooseAgain)
		x.acquire("new", nil)
		x.True(x.replies["new"].ChooseAgain)
	})
}

// Guards against traffic on a failed upstream before a probe, and against all queued requests reaching a recovered
// upstream at once.
func TestBreaker(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Slots = 8
		x.acquire("crash", nil)
		x.engine.set(func() { x.engine.failing = true })
		x.release("crash", func(r *chestnutcleat.ReleaseRequest) { r.Crashed = true })
		x.acquire("down", nil)
		x.True(x.replies["down"].ChooseAgain)
		time.Sleep(20 * time.Second)
		x.acquire("still down", nil)
		x.True(x.replies["still down"].ChooseAgain)
		x.engine.set(func() { x.engine.failing = false })
		health := chestnutcleat.HealthDown
		for i := 0; i < 200 && health == chestnutcleat.HealthDown; i++ {
			time.Sleep(100 * time.Millisecond)
			x.do(func() { health = x.scheduler.Loads()[0].Health })
		}
		granted := func() int {
			n := 0
			for _, r := range x.replies {
				if r.Ticket != nil {
					n++
				}
			}
			return n - 1
		}
		x.acquire("no probe", func(r *chestnutcleat.AcquireRequest) { r.Repeatable = false })
		for i := range 8 {
			x.acquire(fmt.Sprint(i), nil)
		}
		x.Equal(granted(), 1)
		x.release("0", nil)
		x.Equal(granted(), 3)
		x.True(x.replies["no probe"].Ticket != nil)
	})
}

// Guards against two suspects running on one upstream at the same time.
func TestOneSuspectAtATime(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Slots = 3
		isolated := func(r *chestnutcleat.AcquireRequest) { r.Isolated = true }
		x.acquire("a", isolated)
		x.acquire("b", isolated)
		x.acquire("c", nil)
		x.True(x.replies["b"].Ticket == nil)
		x.True(x.replies["c"].Ticket != nil)
		x.release("a", nil)
		x.True(x.replies["b"].Ticket != nil)
	})
}

// Guards against orders from two owners at the same time to an engine that ignores fencing, and against pins of
// programs that no longer exist.
func TestOrdersAndPins(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Models = []chestnutcleat.ModelName{"a", "b"}
		x.engine.set(func() {
			x.engine.state.Pins = []chestnutcleat.Pin{{Program: "gone", Expiry: time.Now().Add(time.Hour)}}
		})
		x.acquire("first", nil)
		time.Sleep(21 * time.Second)
		synctest.Wait()
		x.engine.set(func() { x.Equal(len(x.engine.orders), 0) })
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		x.engine.set(func() {
			x.Equal(len(x.engine.orders), 2)
			x.Equal(x.engine.orders[0].Fence, chestnutcleat.Epoch(7))
			x.Equal(x.engine.pins[0].Program, "gone")
			x.True(x.engine.pins[0].Expiry.Before(time.Now()))
		})
	})
}

// Guards against a cache index that exceeds the engine's cache size or keeps prefixes that the engine has evicted.
func TestCacheIndex(t *testing.T) {
	run(t, func(x *fixture) {
		history := func(n int) []chestnutcleat.Digest {
			return []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte{byte(n)})}
		}
		for i := range 20 {
			id := fmt.Sprint(i)
			x.acquire(id, func(r *chestnutcleat.AcquireRequest) { r.History, r.Prompt = history(i), 200 })
			x.release(id, func(r *chestnutcleat.ReleaseRequest) { r.Usage.Prompt = 200 })
		}
		x.do(func() { x.Equal(x.scheduler.Loads()[0].Occupied, chestnutcleat.Tokens(1000)) })
		x.do(func() {
			x.Equal(x.scheduler.Cached(upstreamID, history(19)), chestnutcleat.Tokens(200))
			x.Equal(x.scheduler.Cached(upstreamID, history(0)), chestnutcleat.Tokens(0))
		})
	})
}

// Guards against more running requests than slots after a graceful handover.
func TestExportKeepsTickets(t *testing.T) {
	run(t, func(x *fixture) {
		slot := chestnutcleat.UpstreamKey(upstreamID).Slot()
		x.acquire("first", nil)
		x.acquire("queued", nil)
		x.do(func() { x.scheduler.Import(slot, x.scheduler.Export(slot), chestnutcleat.Transfer{}) })
		x.True(x.replies["queued"].ChooseAgain)
		x.acquire("next", nil)
		x.True(x.replies["next"].Ticket == nil)
		x.release("first", nil)
		x.True(x.replies["next"].Ticket != nil)
	})
}

// Guards against an upstream overloaded by a new owner that does not know the tickets of a lost owner.
func TestRampAfterLostOwner(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Slots = 8
		x.do(func() {
			x.scheduler.Import(chestnutcleat.UpstreamKey(upstreamID).Slot(), nil, chestnutcleat.Transfer{Lost: true})
		})
		for i := range 8 {
			x.acquire(fmt.Sprint(i), nil)
		}
		x.Equal(len(x.order), 1)
		x.release("0", nil)
		x.Equal(len(x.order), 3)
	})
}

// Guards against more tickets than slots, and against requests that get no reply or two, under random acquires, cancels,
// releases, failures and handovers.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(20) {
		run(t, func(x *fixture) {
			random := rand.New(rand.NewPCG(seed, 1))
			x.config.Slots = 4
			held := map[chestnutcleat.TicketID]chestnutcleat.Ticket{}
			asked, answers := 0, map[int]int{}
			for i := range 1000 {
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				x.do(func() {
					switch n := random.IntN(100); {
					case n < 50:
						asked++
						id := asked
						r := chestnutcleat.AcquireRequest{ID: chestnutcleat.RequestID(fmt.Sprint(id)), Upstream: upstreamID, Output: 10, Repeatable: n%2 == 0, Isolated: n%5 == 0, Timeout: time.Hour, Level: chestnutcleat.Level(n % 3), Deadline: time.Now().Add(time.Duration(n) * time.Second)}
						x.scheduler.Acquire(r, func(a chestnutcleat.AcquireReply) {
							answers[id]++
							if a.Ticket != nil {
								held[a.Ticket.ID] = *a.Ticket
							}
						})
					case n < 55:
						x.scheduler.Cancel(chestnutcleat.RequestID(fmt.Sprint(random.IntN(asked + 1))))
					case n < 97:
						for id, ticket := range held {
							delete(held, id)
							x.scheduler.Release(chestnutcleat.ReleaseRequest{Ticket: ticket, Elapsed: time.Second, Crashed: n == 96, NotSent: n == 95, Failed: n == 94})
							break
						}
					default:
						slot := chestnutcleat.UpstreamKey(upstreamID).Slot()
						x.scheduler.Import(slot, x.scheduler.Export(slot), chestnutcleat.Transfer{})
					}
					if len(held) > 4 {
						t.Fatalf("seed %d step %d: %d tickets for 4 slots", seed, i, len(held))
					}
				})
			}
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			for id := 1; id <= asked; id++ {
				if answers[id] != 1 {
					t.Fatalf("seed %d: request %d has %d answers", seed, id, answers[id])
				}
			}
		})
	}
}
