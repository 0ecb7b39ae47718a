package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/node"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

// propagationBound is the time within which a change is in effect on every live VM.
const propagationBound = 5 * time.Second

// forEachSeed runs a test in virtual time, once per seed.
func forEachSeed(t *testing.T, seeds uint64, test func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			parallel(t)
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// applyRate applies a manifest with a rate for the customer, which identifies the manifest, through node i.
func (f *fleet) applyRate(i int, base chestnutcleat.Revision, rate float64, id chestnutcleat.ChangeID) (chestnutcleat.Revision, error) {
	m := testManifest()
	m.Revision = base
	m.Customers[0].Rate = rate
	raw, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	a, err := f.node(i).OperatorHandler(nil).Apply(ctx, manifest.Change{Raw: raw, Base: base, Who: fmt.Sprintf("operator %d", i), ID: id})
	return a.Revision, err
}

// mustApplyRate is like applyRate, but fails the test if the manifest is not accepted.
func (f *fleet) mustApplyRate(i int, base chestnutcleat.Revision, rate float64) chestnutcleat.Revision {
	r, err := f.applyRate(i, base, rate, "")
	if err != nil {
		f.t.Fatalf("apply on VM %d, based on revision %d: %v", i, base, err)
	}
	return r
}

func (f *fleet) revision(i int) chestnutcleat.Revision {
	return f.node(i).OperatorHandler(nil).Current().Revision()
}

// expectInEffect fails unless the revision and its rate are in effect on the VMs within propagationBound of now.
func (f *fleet) expectInEffect(what string, r chestnutcleat.Revision, rate float64, vms ...int) {
	f.t.Helper()
	begun := time.Now()
	for _, i := range vms {
		for f.revision(i) < r {
			if time.Since(begun) > propagationBound {
				f.t.Errorf("%s: revision %d is not in effect on VM %d after %s, current revision is %d", what, r, i, propagationBound, f.revision(i))
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		if c, _ := f.node(i).Customer("grower"); f.revision(i) == r && c.Rate != rate {
			f.t.Errorf("%s: VM %d has rate %v under revision %d, expected %v", what, i, c.Rate, r, rate)
		}
	}
	f.t.Logf("%s: in effect on %d VMs after %s", what, len(vms), time.Since(begun))
}

// pollVMs checks all VMs at an interval until stop is called.
func (f *fleet) pollVMs(d time.Duration, check func(i int)) (stop func()) {
	var ended atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() {
		for !ended.Load() {
			for i := range f.size() {
				check(i)
			}
			time.Sleep(d)
		}
	})
	return func() {
		ended.Store(true)
		wg.Wait()
	}
}

// watchRevisions reports every VM whose revision decreases, until stop is called. A restarted VM begins at zero.
func (f *fleet) watchRevisions() (stop func()) {
	type seen struct {
		node     *node.Node
		revision chestnutcleat.Revision
	}
	last := map[int]seen{}
	return f.pollVMs(100*time.Millisecond, func(i int) {
		now := seen{f.node(i), f.revision(i)}
		if now.node == last[i].node && now.revision < last[i].revision {
			f.t.Errorf("VM %d: revision decreased from %d to %d", i, last[i].revision, now.revision)
		}
		last[i] = now
	})
}

func allVMs(f *fleet) []int {
	list := make([]int, len(f.nodes))
	for i := range list {
		list[i] = i
	}
	return list
}

// TestManifestBeforeOutage guards against an accepted manifest that is lost or reverted because the platform
// goes down right after the acceptance, and against a VM that restarts during the outage with older state.
func TestManifestBeforeOutage(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		defer f.watchRevisions()()
		r := f.mustApplyRate(int(seed)%7, 1, 30)
		f.store.SetFaults(standin.Faults{Outage: true})
		f.expectInEffect("outage after the acceptance", r, 30, allVMs(f)...)
		f.kill(4)
		time.Sleep(time.Second)
		f.start(4, 2)
		f.expectInEffect("VM restarted in the outage", r, 30, allVMs(f)...)
		time.Sleep(time.Minute)
		f.store.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		f.expectInEffect("after the outage", r, 30, allVMs(f)...)
		r = f.mustApplyRate(4, r, 40)
		f.expectInEffect("change on the restarted VM", r, 40, allVMs(f)...)
	})
}

// TestManifestLostAnswers guards against a wrong result of a change when the platform's responses are lost: an accepted
// change must be in effect, a refused one must not, and one with an unknown outcome must be resolved by a retry.
func TestManifestLostAnswers(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		defer f.watchRevisions()()
		f.store.SetFaults(standin.Faults{ResponseLossRate: 0.7})
		r := chestnutcleat.Revision(1)
		for k := range 10 {
			rate := float64(30 + k)
			id := chestnutcleat.ChangeID(fmt.Sprintf("change-%d", k))
			next, err := f.applyRate(k%7, r, rate, id)
			for unknown := new(manifest.UnresolvedError); errors.As(err, &unknown); {
				next, err = f.applyRate((k+1)%7, r, rate, id)
			}
			if err != nil || next != r+1 {
				t.Fatalf("seed %d, change %d: got revision %d, %v", seed, k, next, err)
			}
			r = next
			f.expectInEffect("lost answers", r, rate, allVMs(f)...)
		}
	})
}

// TestManifestRace guards against accepting two concurrent changes of the same revision.
func TestManifestRace(t *testing.T) {
	for name, lost := range map[string]float64{"no faults": 0, "lost answers": 0.4} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 5, func(t *testing.T, seed uint64) { testConcurrentChanges(t, seed, lost) })
		})
	}
}

func testConcurrentChanges(t *testing.T, seed uint64, lost float64) {
	f := newFleet(t, 7, seed)
	defer f.stop()
	defer f.watchRevisions()()
	f.store.SetFaults(standin.Faults{ResponseLossRate: lost, Latency: chestnutcleat.Duration(3 * time.Millisecond)})
	base := chestnutcleat.Revision(1)
	for k := range 10 {
		vms := [2]int{k % 7, (k + 1 + int(seed)) % 7}
		if vms[0] == vms[1] {
			vms[1] = (vms[1] + 1) % 7
		}
		var errs [2]error
		var wg sync.WaitGroup
		for o, i := range vms {
			wg.Go(func() {
				time.Sleep(time.Duration(f.randomUint64()%5) * time.Millisecond)
				_, errs[o] = f.applyRate(i, base, float64(100+10*k+o), "")
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *manifest.ConflictError
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) {
			t.Fatalf("seed %d, base %d: got %v and %v, expected one acceptance and one conflict", seed, base, errs[0], errs[1])
		}
		base++
		f.expectInEffect("two operators", base, float64(100+10*k+winner), allVMs(f)...)
	}
}
