package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// gracefulBound is the longest time that a call may take while a VM leaves.
const gracefulBound = 500 * time.Millisecond

// entries are the VMs that callers use, with the number of calls that run through each.
type entries struct {
	mu      sync.Mutex
	closed  []bool
	running []int
}

// enter chooses a VM that is not closed, the first one from i on.
func (e *entries) enter(i int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.closed[i%len(e.closed)] {
		i++
	}
	i %= len(e.closed)
	e.running[i]++
	return i
}

func (e *entries) exit(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[i]--
}

func (e *entries) setClosed(i int, closed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[i] = closed
}

func (e *entries) idle(i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[i] == 0
}

// TestGracefulRestarts guards against calls that fail or wait while every VM is restarted in turn.
func TestGracefulRestarts(t *testing.T) {
	eachSeed(t, gracefulSeeds, func(t *testing.T, seed uint64) {
		f := newFleet(t, 7, seed)
		defer f.stop()
		f.mustChange(0, 1, 500)
		time.Sleep(spreadBound)
		e := &entries{closed: make([]bool, 7), running: make([]int, 7)}
		l := &ledger{count: map[string]int{}}
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
					case <-time.After(50*time.Millisecond + time.Duration(f.draw()%uint64(100*time.Millisecond))):
					}
					call := chestnutcleat.CallID(fmt.Sprintf("c%d", c))
					program := chestnutcleat.ProgramID(fmt.Sprintf("p%d", p))
					i := e.enter(p + c)
					begun := time.Now()
					o, err := f.run(i, program, call, after, l.execute(string(program)+"/"+string(call)))
					e.exit(i)
					took := time.Since(begun)
					if err != nil || o != chestnutcleat.Done || took > gracefulBound {
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
			f.restart(i, e)
		}
		close(done)
		wg.Wait()
		for name, n := range l.count {
			if n != 1 {
				t.Errorf("seed %d: %s ran %d times", seed, name, n)
			}
		}
		t.Logf("seed %d: %d calls, slowest %s", seed, calls, worst)
	})
}

// restart stops node i as its process does on SIGTERM and starts it again.
func (f *fleet) restart(i int, e *entries) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 30*time.Second)
	defer cancel()
	// Callers with an older list of VMs still come here while the slots move.
	if err := f.node(i).Leave(ctx); err != nil {
		f.t.Errorf("VM %d did not hand over its slots: %v", i, err)
	}
	e.setClosed(i, true)
	for !e.idle(i) {
		time.Sleep(time.Millisecond)
	}
	f.network.Close(address(i))
	f.kill(i)
	time.Sleep(2 * time.Second)
	f.start(i, 2)
	for f.node(i).Ready(ctx) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	e.setClosed(i, false)
	time.Sleep(3 * time.Second)
}
