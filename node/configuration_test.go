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

// spreadBound is the time within which a change is in effect on every live VM.
const spreadBound = 5 * time.Second

// eachSeed runs a test in virtual time for several seeds.
func eachSeed(t *testing.T, seeds uint64, test func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			parallel(t)
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// change sends a manifest, distinguished by the customer's rate, to node i.
func (f *fleet) change(i int, base chestnutcleat.Revision, rate float64, id chestnutcleat.ChangeID) (chestnutcleat.Revision, error) {
	m := testManifest()
	m.Revision = base
	m.Customers[0].Rate = rate
	raw, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	a, err := f.node(i).Operators(nil).Apply(ctx, manifest.Change{Raw: raw, Base: base, Who: fmt.Sprintf("operator %d", i), ID: id})
	return a.Revision, err
}

// mustChange is change for a test whose manifest has to be accepted.
func (f *fleet) mustChange(i int, base chestnutcleat.Revision, rate float64) chestnutcleat.Revision {
	r, err := f.change(i, base, rate, "")
	if err != nil {
		f.t.Fatalf("apply on VM %d, based on revision %d: %v", i, base, err)
	}
	return r
}

func (f *fleet) revision(i int) chestnutcleat.Revision {
	return f.node(i).Operators(nil).Current().Revision()
}

// expectEverywhere fails unless the revision and its rate are in effect on the VMs within spreadBound of now.
func (f *fleet) expectEverywhere(what string, r chestnutcleat.Revision, rate float64, vms ...int) {
	f.t.Helper()
	begun := time.Now()
	for _, i := range vms {
		for f.revision(i) < r {
			if time.Since(begun) > spreadBound {
				f.t.Errorf("%s: revision %d is not in effect on VM %d after %s, it has %d", what, r, i, spreadBound, f.revision(i))
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

// every checks all VMs again and again, until stop is called.
func (f *fleet) every(d time.Duration, check func(i int)) (stop func()) {
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

// watchRevisions reports every VM whose revision goes back, until stop is called. A restarted VM begins at zero.
func (f *fleet) watchRevisions() (stop func()) {
	type seen struct {
		node     *node.Node
		revision chestnutcleat.Revision
	}
	last := map[int]seen{}
	return f.every(100*time.Millisecond, func(i int) {
		now := seen{f.node(i), f.revision(i)}
		if now.node == last[i].node && now.revision < last[i].revision {
			f.t.Errorf("VM %d went back from revision %d to %d", i, last[i].revision, now.revision)
		}
		last[i] = now
	})
}

func everyone(f *fleet) []int {
	list := make([]int, len(f.nodes))
	for i := range list {
		list[i] = i
	}
	return list
}

// TestManifestBeforeOutage guards against an accepted manifest that is lost or undone because the platform
// goes down right after the acceptance, and against a VM that restarts in the outage with older state.
func TestManifestBeforeOutage(t *testing.T) {
	eachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		defer f.watchRevisions()()
		r := f.mustChange(int(seed)%7, 1, 30)
		f.store.SetFaults(standin.Faults{Outage: true})
		f.expectEverywhere("outage after the acceptance", r, 30, everyone(f)...)
		f.kill(4)
		time.Sleep(time.Second)
		f.start(4, 2)
		f.expectEverywhere("VM restarted in the outage", r, 30, everyone(f)...)
		time.Sleep(time.Minute)
		f.store.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		f.expectEverywhere("after the outage", r, 30, everyone(f)...)
		r = f.mustChange(4, r, 40)
		f.expectEverywhere("change on the restarted VM", r, 40, everyone(f)...)
	})
}

// TestManifestLostAnswers guards against changes reported on a guess: an accepted one must be in effect,
// a refused one must not, and an unknown one must be decided when it is sent again.
func TestManifestLostAnswers(t *testing.T) {
	eachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		defer f.watchRevisions()()
		f.store.SetFaults(standin.Faults{Lost: 0.7})
		r := chestnutcleat.Revision(1)
		for k := range 10 {
			rate := float64(30 + k)
			id := chestnutcleat.ChangeID(fmt.Sprintf("change-%d", k))
			next, err := f.change(k%7, r, rate, id)
			for unknown := new(manifest.UnresolvedError); errors.As(err, &unknown); {
				next, err = f.change((k+1)%7, r, rate, id)
			}
			if err != nil || next != r+1 {
				t.Fatalf("seed %d, change %d: got revision %d, %v", seed, k, next, err)
			}
			r = next
			f.expectEverywhere("lost answers", r, rate, everyone(f)...)
		}
	})
}

// TestManifestRace guards against two operators who are both told that their change of one revision was accepted.
func TestManifestRace(t *testing.T) {
	for name, lost := range map[string]float64{"calm": 0, "lost answers": 0.4} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 5, func(t *testing.T, seed uint64) { raceCase(t, seed, lost) })
		})
	}
}

func raceCase(t *testing.T, seed uint64, lost float64) {
	f := newFleet(t, 7, seed)
	defer f.stop()
	defer f.watchRevisions()()
	f.store.SetFaults(standin.Faults{Lost: lost, Latency: chestnutcleat.Duration(3 * time.Millisecond)})
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
				time.Sleep(time.Duration(f.draw()%5) * time.Millisecond)
				_, errs[o] = f.change(i, base, float64(100+10*k+o), "")
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
		f.expectEverywhere("two operators", base, float64(100+10*k+winner), everyone(f)...)
	}
}
