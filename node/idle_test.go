package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// TestPlatformCallsAtRest guards against polling of the platform, whose limits on calls grow more slowly than the
// fleet. An idle VM may keep one watch, which is renewed when it ends, and make one other call per 10 s.
func TestPlatformCallsAtRest(t *testing.T) {
	const period, spacing = 10 * time.Minute, 10 * time.Second
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		time.Sleep(time.Minute)
		before := f.store.Counts()
		time.Sleep(period)
		for name, after := range f.store.Counts() {
			watches := after.Watches - before[name].Watches
			others := after.Calls - before[name].Calls - watches
			if limit := int(period / spacing); watches > limit || others > limit {
				t.Errorf("seed %d: %s made %d watches and %d other calls in %s, expected at most %d of each kind", seed, name, watches, others, period, limit)
			}
			t.Logf("seed %d: %s made %d watches and %d other calls in %s", seed, name, watches, others, period)
		}
	})
}

// TestLeavingUpstream guards against new work for an upstream that the manifest marks as leaving.
func TestLeavingUpstream(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		for i := range f.nodes {
			if a := f.acquire(i, "e1", fmt.Sprintf("before-%d", i)); a.Ticket == nil {
				t.Fatalf("seed %d: no ticket through VM %d before the upstream leaves: %+v", seed, i, a)
			}
		}
		m := testManifest()
		m.Revision = 1
		m.Upstreams[0].Leaving = true
		f.apply(int(seed)%7, m)
		time.Sleep(2 * time.Second)
		for i := range f.nodes {
			for k := range 20 {
				if a := f.acquire(i, "e1", fmt.Sprintf("after-%d-%d", i, k)); a.Ticket != nil {
					t.Errorf("seed %d: VM %d got a ticket of the leaving upstream", seed, i)
				}
				if u, err := f.nodes[i].Pick(chestnutcleat.Pick{Route: "chat", Current: "e1", Prompt: 100, Output: 100}); err != nil || u != "e2" {
					t.Errorf("seed %d: VM %d chose %q, %v, expected e2", seed, i, u, err)
				}
			}
		}
		if a := f.acquire(0, "e2", "other"); a.Ticket == nil {
			t.Errorf("seed %d: no ticket of the upstream that stays: %+v", seed, a)
		}
	})
}

// acquire acquires a ticket through node i and releases it unused.
func (f *fleet) acquire(i int, u chestnutcleat.UpstreamID, id string) chestnutcleat.AcquireReply {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	r := chestnutcleat.AcquireRequest{
		ID: chestnutcleat.RequestID(id), Upstream: u, Customer: "grower", Program: chestnutcleat.ProgramID(id), Call: "c",
		Started: time.Now(), Deadline: time.Now().Add(5 * time.Second), Prompt: 100, Output: 100, Repeatable: true, Timeout: time.Second,
	}
	a, err := f.nodes[i].Acquire(ctx, r)
	if err != nil {
		f.t.Errorf("acquire %s through VM %d: %v", u, i, err)
	}
	if a.Ticket != nil {
		if err := f.nodes[i].Release(ctx, chestnutcleat.ReleaseRequest{Ticket: *a.Ticket, NotSent: true}); err != nil {
			f.t.Errorf("release %s through VM %d: %v", u, i, err)
		}
	}
	return a
}
