package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// maxCallDuration is the longest time that a call may take while a VM leaves.
const maxCallDuration = 500 * time.Millisecond

// entryVMs are the VMs that callers use, with the number of running calls of each.
type entryVMs struct {
	mu      sync.Mutex
	closed  []bool
	running []int
}

// beginCall returns the first VM from i on that is not closed, and counts the call.
func (e *entryVMs) beginCall(i int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.closed[i%len(e.closed)] {
		i++
	}
	i %= len(e.closed)
	e.running[i]++
	return i
}

func (e *entryVMs) endCall(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[i]--
}

func (e *entryVMs) setClosed(i int, closed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[i] = closed
}

func (e *entryVMs) idle(i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[i] == 0
}

// TestGracefulRestarts guards against calls that fail or are delayed while all VMs are restarted one by one.
func TestGracefulRestarts(t *testing.T) {
	forEachSeed(t, gracefulSeeds, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		f.mustApplyRate(0, 1, 500)
		time.Sleep(propagationBound)
		entries := &entryVMs{closed: make([]bool, 7), running: make([]int, 7)}
		executions := &executionCounter{count: map[string]int{}}
		done := make(chan struct{})
		var wg sync.WaitGroup
		var calls int
		var worst time.Duration
		for p := range 14 {
			wg.Go(func() {
				var after chestnutcleat.CallID
				for c := 0; ; c++ {
					select {
					case <-done:
						return
					case <-time.After(50*time.Millisecond + time.Duration(f.randomUint64()%uint64(100*time.Millisecond))):
					}
					call := chestnutcleat.CallID(fmt.Sprintf("c%d", c))
					program := chestnutcleat.ProgramID(fmt.Sprintf("p%d", p))
					i := entries.beginCall(p + c)
					begun := time.Now()
					o, err := f.run(i, program, call, after, executions.execute(string(program)+"/"+string(call)))
					entries.endCall(i)
					took := time.Since(begun)
					if err != nil || o != chestnutcleat.Done || took > maxCallDuration {
						t.Errorf("seed %d: %s/%s through VM %d: %s after %s, %v", seed, program, call, i, o, took, err)
					}
					f.mu.Lock()
					calls++
					worst = max(worst, took)
					f.mu.Unlock()
					after = call
				}
			})
		}
		for i := range 7 {
			f.restart(i, entries)
		}
		close(done)
		wg.Wait()
		for name, n := range executions.count {
			if n != 1 {
				t.Errorf("seed %d: %s ran %d times", seed, name, n)
			}
		}
		t.Logf("seed %d: %d calls, slowest %s", seed, calls, worst)
	})
}

// restart stops node i as its process does on SIGTERM and starts it again.
func (f *fleet) restart(i int, entries *entryVMs) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 30*time.Second)
	defer cancel()
	// Callers with an older list of VMs still send calls to this VM while its slots are handed over.
	if err := f.node(i).Leave(ctx); err != nil {
		f.t.Errorf("VM %d did not hand over its slots: %v", i, err)
	}
	entries.setClosed(i, true)
	for !entries.idle(i) {
		time.Sleep(time.Millisecond)
	}
	f.network.StopProcess(address(i))
	f.kill(i)
	time.Sleep(2 * time.Second)
	f.start(i, 2)
	for f.node(i).Ready(ctx) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	entries.setClosed(i, false)
	time.Sleep(3 * time.Second)
}
