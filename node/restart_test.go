package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// TestFullFleetRestart guards against a deadlock after all VMs restart at once: each VM waits for the promises of
// witnesses that have restarted, too.
func TestFullFleetRestart(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7} {
		for seed := uint64(1); seed <= faultSeeds; seed++ {
			t.Run(fmt.Sprintf("vms=%d/seed=%d", size, seed), func(t *testing.T) {
				parallel(t)
				synctest.Test(t, func(t *testing.T) { testFullRestart(t, size, seed) })
			})
		}
	}
}

func testFullRestart(t *testing.T, size int, seed uint64) {
	f := newFleet(t, size, seed)
	defer f.stop()
	executions := &executionCounter{count: map[string]int{}}
	allAlive := func(int) bool { return true }
	if err := f.runUntilFinal(executions, 0, "p", "c1", "", allAlive); err != nil {
		t.Fatalf("seed %d: before the restart: %v", seed, err)
	}
	time.Sleep(5 * time.Second)
	for i := range f.nodes {
		f.kill(i)
	}
	time.Sleep(time.Second)
	for i := range f.nodes {
		f.start(i, 2)
	}
	begun := time.Now()
	if err := f.runUntilFinal(executions, 0, "q", "c1", "", allAlive); err != nil {
		t.Fatalf("seed %d: after the restart: %v", seed, err)
	}
	t.Logf("first call after %s", time.Since(begun))
	for i := range f.nodes {
		if err := f.runUntilFinal(executions, i, "p", "c1", "", allAlive); err != nil {
			t.Errorf("seed %d: repeat through VM %d: %v", seed, i, err)
		}
	}
	if n := executions.count["p/c1"]; n != 1 {
		t.Errorf("seed %d: a call from before the restart ran %d times", seed, n)
	}
	for s := range chestnutcleat.SlotCount {
		if f.nodes[0].Place(chestnutcleat.Key{Kind: chestnutcleat.KindProgram, ID: fmt.Sprint(s)}).VM == "" {
			t.Fatalf("seed %d: a slot has no owner", seed)
		}
	}
}
