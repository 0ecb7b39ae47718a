package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

// admission is an admitted request; the owner admitted it between sent and received.
type admission struct {
	sent, received time.Time
}

// requestTokens requests tokens through all live VMs, far above the rate, and returns the admitted requests.
func (f *fleet) requestTokens(d time.Duration, alive func(int) bool) []admission {
	var mu sync.Mutex
	var list []admission
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for w := range 40 {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if i := (w + k) % len(f.nodes); alive(i) {
					ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
					sent := time.Now()
					a, err := f.nodes[i].Take(ctx, chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(fmt.Sprintf("%d-%d", w, k)), Customer: "grower", Count: 1})
					cancel()
					if err == nil && a.Admitted {
						mu.Lock()
						list = append(list, admission{sent, time.Now()})
						mu.Unlock()
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return list
}

// TestRateOverOwnerLoss guards against a new owner that grants tokens that the lost owner has already granted.
func TestRateOverOwnerLoss(t *testing.T) {
	cases := map[string]func(f *fleet, owner int){
		"owner killed": func(f *fleet, owner int) { f.kill(owner) },
		"owner killed in an outage": func(f *fleet, owner int) {
			f.store.SetFaults(standin.Faults{Outage: true})
			f.kill(owner)
		},
		"owner leaves": func(f *fleet, owner int) {
			n := f.nodes[owner]
			go n.Leave(f.t.Context())
		},
	}
	for name, removeOwner := range cases {
		for seed := uint64(1); seed <= faultSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				parallel(t)
				synctest.Test(t, func(t *testing.T) { testRate(t, seed, removeOwner) })
			})
		}
	}
}

func testRate(t *testing.T, seed uint64, removeOwner func(*fleet, int)) {
	const rate, burst = 20, 40
	f := newFleet(t, 7, seed)
	defer f.stop()
	owner := -1
	for i, n := range f.nodes {
		if n.Self.ID == f.nodes[0].Place(chestnutcleat.CustomerKey("grower")).VM {
			owner = i
		}
	}
	go func() {
		time.Sleep(5 * time.Second)
		removeOwner(f, owner)
	}()
	list := f.requestTokens(20*time.Second, func(i int) bool { return i != owner })
	if len(list) < rate*10 {
		t.Errorf("seed %d: only %d requests admitted in 20 s", seed, len(list))
	}
	slices.SortFunc(list, func(a, b admission) int { return a.received.Compare(b.received) })
	for _, first := range list {
		n := 0
		for _, a := range list {
			if a.sent.Before(first.sent) {
				continue
			}
			n++
			window := a.received.Sub(first.sent)
			if float64(n) > burst+rate*window.Seconds() {
				t.Fatalf("seed %d: %d requests admitted within %s, expected at most %d + %d/s", seed, n, window, burst, rate)
			}
		}
	}
}
