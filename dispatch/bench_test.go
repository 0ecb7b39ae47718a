package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
)

// idleLoop runs no posted functions and no timers.
type idleLoop struct{}

func (idleLoop) Post(func()) {}

func (idleLoop) After(time.Duration, func()) chestnutcleat.Timer { return &simEvent{} }

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 600} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			r := chestnutcleat.PickRequest{Prompt: 10_000, Output: 300, Current: "e3"}
			for i := range n {
				id := chestnutcleat.UpstreamID(fmt.Sprint("e", i))
				u := chestnutcleat.Upstream{ID: id, Slots: 6, Cache: 120_000, Prefill: 4000, Decode: 40}
				l := chestnutcleat.Load{Upstream: id, Health: chestnutcleat.HealthUp, Running: random.IntN(7), Wait: time.Duration(random.IntN(5000)) * time.Millisecond}
				r.Candidates = append(r.Candidates, chestnutcleat.Candidate{Upstream: u, Load: l})
			}
			r.Candidates[3].Cached = 8000
			p := dispatch.Picker{Rand: random}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(r)
			}
		})
	}
}

// One operation is an acquire with a history of 100 messages, at full utilization with some requests queued, and the
// release of an older ticket.
func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct{ customers, upstreams int }{{8, 12}, {8, 600}, {5000, 600}} {
		b.Run(fmt.Sprintf("customers=%d/upstreams=%d", c.customers, c.upstreams), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			n, upstreams := c.customers, c.upstreams
			config := chestnutcleat.Upstream{Slots: 6, Cache: 1 << 20, Prefill: 4000, Decode: 40}
			scheduler := dispatch.Scheduler{Loop: idleLoop{}, Upstream: func(id chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool) {
				u := config
				u.ID = id
				return u, true
			}}
			ids := make([]chestnutcleat.UpstreamID, upstreams)
			for i := range ids {
				ids[i] = chestnutcleat.UpstreamID(fmt.Sprint("e", i))
			}
			customers := make([]chestnutcleat.CustomerID, n)
			histories := make([][]chestnutcleat.Digest, n)
			for i := range customers {
				customers[i] = chestnutcleat.CustomerID(fmt.Sprint("c", i))
				for m := range 100 {
					histories[i] = append(histories[i], chestnutcleat.DigestOf(fmt.Append(nil, i, m)))
				}
			}
			var tickets []chestnutcleat.Ticket
			granted := func(a chestnutcleat.AcquireReply) {
				if a.Ticket != nil {
					tickets = append(tickets, *a.Ticket)
				}
			}
			start := time.Now()
			i := 0
			acquire := func() {
				c := random.IntN(n)
				i++
				scheduler.Acquire(chestnutcleat.AcquireRequest{
					ID: chestnutcleat.RequestID(fmt.Sprint(i)), Upstream: ids[random.IntN(upstreams)], Customer: customers[c],
					Started: start.Add(-time.Duration(random.IntN(1e9))), Deadline: start.Add(time.Hour), History: histories[c],
					Prompt: 10_000, Output: 300, Repeatable: true, Level: chestnutcleat.Level(random.IntN(2)),
				}, granted)
			}
			for range upstreams * 12 {
				acquire()
			}
			b.ReportAllocs()
			for b.Loop() {
				acquire()
				t := tickets[0]
				tickets = tickets[1:]
				scheduler.Release(chestnutcleat.ReleaseRequest{Ticket: t, Elapsed: time.Second, Usage: chestnutcleat.Usage{Prompt: 10_000, Cached: 9000}})
			}
		})
	}
}
