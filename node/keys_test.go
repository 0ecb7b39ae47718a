package node_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

var growerKey = chestnutcleat.DigestOf([]byte("key"))

// subscribe returns a counter of the callbacks for a key on node i.
func (f *fleet) subscribe(i int, d chestnutcleat.Digest) *atomic.Int32 {
	n := new(atomic.Int32)
	f.node(i).Subscribe(d, func() { n.Add(1) })
	return n
}

// withdraw withdraws a key at node i.
func (f *fleet) withdraw(i int, d chestnutcleat.Digest) {
	f.t.Helper()
	if err := f.node(i).OperatorHandler(nil).Withdraw(f.t.Context(), d, "test"); err != nil {
		f.t.Fatalf("withdraw on VM %d: %v", i, err)
	}
}

// expectWithdrawn fails unless the key is refused on the VMs within propagationBound of now.
func (f *fleet) expectWithdrawn(what string, d chestnutcleat.Digest, vms ...int) {
	f.t.Helper()
	begun := time.Now()
	for _, i := range vms {
		for {
			_, state := f.node(i).Key(d)
			if state == chestnutcleat.KeyWithdrawn {
				break
			}
			if time.Since(begun) > propagationBound {
				f.t.Errorf("%s: key is %s on VM %d after %s", what, state, i, propagationBound)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.t.Logf("%s: withdrawn on %d VMs after %s", what, len(vms), time.Since(begun))
}

// expectStaysWithdrawn reports every VM that accepts a withdrawn key again, until stop is called.
func (f *fleet) expectStaysWithdrawn(d chestnutcleat.Digest) (stop func()) {
	return f.pollVMs(50*time.Millisecond, func(i int) {
		if c, state := f.node(i).Key(d); state == chestnutcleat.KeyActive {
			f.t.Errorf("VM %d accepts the withdrawn key of %q", i, c)
		}
	})
}

// TestWithdrawnKey guards against a withdrawn key that is still accepted by some VM, or whose running requests are not
// notified.
func TestWithdrawnKey(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		loss   float64
	}{
		{name: "no faults"},
		{name: "platform down", faults: standin.Faults{Outage: true}},
		{name: "platform slow", faults: standin.Faults{Latency: chestnutcleat.Duration(5 * time.Second)}},
		{name: "platform loses answers", faults: standin.Faults{ResponseLossRate: 0.9}},
		{name: "platform down, lossy network", faults: standin.Faults{Outage: true}, loss: 0.05},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) { testWithdrawal(t, seed, c.faults, c.loss) })
		})
	}
}

func testWithdrawal(t *testing.T, seed uint64, faults standin.Faults, loss float64) {
	f := newFleet(t, 7, seed)
	defer f.stop()
	notifications := make([]*atomic.Int32, len(f.nodes))
	for i := range notifications {
		notifications[i] = f.subscribe(i, growerKey)
		if c, state := f.node(i).Key(growerKey); c != "grower" || state != chestnutcleat.KeyActive {
			t.Fatalf("seed %d: VM %d: before the withdrawal the key is %s, of customer %q", seed, i, state, c)
		}
	}
	f.store.SetFaults(faults)
	f.network.SetLoss(loss)
	f.withdraw(int(seed)%7, growerKey)
	f.expectWithdrawn("withdrawal", growerKey, allVMs(f)...)
	for i, n := range notifications {
		if n.Load() != 1 {
			t.Errorf("seed %d: VM %d ran its subscriber %d times, expected once", seed, i, n.Load())
		}
	}
	defer f.expectStaysWithdrawn(growerKey)()
	// A restarted VM fetches the key state from the others, but the VM that accepted the withdrawal may be gone by then.
	f.kill(int(seed) % 7)
	time.Sleep(time.Second)
	f.start(int(seed)%7, 2)
	f.start(len(f.nodes), 1)
	f.expectWithdrawn("restarted and new VM", growerKey, allVMs(f)...)
	f.network.SetLoss(0)
	time.Sleep(3 * time.Minute)
	f.store.SetFaults(standin.Faults{})
	time.Sleep(3 * time.Minute)
	// The platform must have the withdrawal, although the VM that accepted it was killed.
	client := &standin.Client{Store: f.store, Name: "test"}
	list, err := client.List(t.Context(), "keys/")
	if err != nil || len(list) == 0 {
		t.Errorf("seed %d: platform has %d key objects after the outage, %v", seed, len(list), err)
	}
	f.expectWithdrawn("after the outage", growerKey, allVMs(f)...)
}

// TestReconnectAfterIsolation guards against a VM that, after an hour of isolation, keeps or spreads old state:
// an old manifest or a withdrawn key.
func TestReconnectAfterIsolation(t *testing.T) {
	forEachSeed(t, isolationSeeds, func(t *testing.T, seed uint64) {
		f := newFleet(t, 4, seed)
		defer f.stop()
		defer f.watchRevisions()()
		second := chestnutcleat.DigestOf([]byte("second key"))
		if err := f.node(1).OperatorHandler(nil).Give(t.Context(), second, "grower", "test"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationBound)
		isolated, others := 3, []int{0, 1, 2}
		notifications := f.subscribe(isolated, growerKey)
		f.isolate(isolated, true)
		r := f.mustApplyRate(0, 1, 30)
		f.withdraw(1, growerKey)
		f.expectInEffect("one VM cut off", r, 30, others...)
		f.expectWithdrawn("one VM cut off", growerKey, others...)
		time.Sleep(isolationDuration)
		f.store.SetFaults(standin.Faults{Outage: true})
		f.withdraw(2, second)
		f.isolate(isolated, false)
		f.expectInEffect(fmt.Sprintf("seed %d: VM reconnected", seed), r, 30, allVMs(f)...)
		f.expectWithdrawn("VM reconnected", growerKey, allVMs(f)...)
		f.expectWithdrawn("VM reconnected", second, allVMs(f)...)
		if notifications.Load() != 1 {
			t.Errorf("seed %d: the reconnected VM ran its subscriber %d times, expected once", seed, notifications.Load())
		}
		f.store.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		r = f.mustApplyRate(isolated, r, 40)
		f.expectInEffect("change on the reconnected VM", r, 40, allVMs(f)...)
	})
}
