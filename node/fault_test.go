package node_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

// executionCounter counts the executions of each call.
type executionCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (e *executionCounter) execute(name string) func() {
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.count[name]++
	}
}

// runProgram runs a sequence of non-repeatable calls; each is retried through other VMs until its outcome is final.
func (f *fleet) runProgram(executions *executionCounter, number, calls int, alive func(int) bool, worst *time.Duration) error {
	program := chestnutcleat.ProgramID(fmt.Sprintf("p%d", number))
	var after chestnutcleat.CallID
	for c := range calls {
		call := chestnutcleat.CallID(fmt.Sprintf("c%d", c))
		begun := time.Now()
		if err := f.runUntilFinal(executions, number, program, call, after, alive); err != nil {
			return fmt.Errorf("%s/%s: %w", program, call, err)
		}
		f.mu.Lock()
		*worst = max(*worst, time.Since(begun))
		f.mu.Unlock()
		after = call
		time.Sleep(time.Second)
	}
	return nil
}

// runUntilFinal retries a call as a caller does, until it has run or may have run.
func (f *fleet) runUntilFinal(executions *executionCounter, number int, program chestnutcleat.ProgramID, call, after chestnutcleat.CallID, alive func(int) bool) error {
	var last error
	for try := range 40 {
		i := (number + try) % len(f.nodes)
		if !alive(i) {
			continue
		}
		o, err := f.run(i, program, call, after, executions.execute(string(program)+"/"+string(call)))
		if o == chestnutcleat.Done || o == chestnutcleat.Unknown {
			return nil
		}
		var p *chestnutcleat.Problem
		if errors.As(err, &p) && p.Code == chestnutcleat.CodeRate {
			return fmt.Errorf("refused below the rate limit: %w", err)
		}
		last = err
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no final outcome: %w", last)
}

// TestFaults guards against calls that run twice, programs that never finish and unjustified refusals
// while VMs crash, links are cut and the platform fails.
func TestFaults(t *testing.T) {
	setLinks := func(f *fleet, a, b int, cut bool) {
		change := f.network.Unblock
		if cut {
			change = f.network.Block
		}
		change(address(a), address(b))
		change(address(b), address(a))
	}
	cases := []struct {
		name   string
		dead   []int
		inject func(f *fleet)
		heal   func(f *fleet)
		// bound is the longest time that a call may take; zero means that the call only has to end.
		bound time.Duration
	}{
		{name: "no faults", inject: func(*fleet) {}, bound: 500 * time.Millisecond},
		{name: "one VM killed", dead: []int{3}, inject: func(f *fleet) { f.kill(3) }, bound: 5 * time.Second},
		{name: "two VMs killed", dead: []int{3, 5}, inject: func(f *fleet) { f.kill(3); f.kill(5) }},
		{name: "failure domain lost", dead: []int{1, 4}, inject: func(f *fleet) { f.kill(1); f.kill(4) }},
		{name: "platform down", inject: func(f *fleet) { f.store.SetFaults(standin.Faults{Outage: true}) },
			heal: func(f *fleet) { f.store.SetFaults(standin.Faults{}) }, bound: 500 * time.Millisecond},
		{name: "platform slow", inject: func(f *fleet) { f.store.SetFaults(standin.Faults{Latency: chestnutcleat.Duration(5 * time.Second)}) },
			heal: func(f *fleet) { f.store.SetFaults(standin.Faults{}) }, bound: 500 * time.Millisecond},
		{name: "VM killed, platform loses answers", dead: []int{3}, inject: func(f *fleet) {
			f.store.SetFaults(standin.Faults{ResponseLossRate: 0.5})
			f.kill(3)
		}, heal: func(f *fleet) { f.store.SetFaults(standin.Faults{}) }},
		{name: "VM killed in an outage", dead: []int{3}, inject: func(f *fleet) {
			f.store.SetFaults(standin.Faults{Outage: true})
			f.kill(3)
		}, heal: func(f *fleet) { f.store.SetFaults(standin.Faults{}) }},
		{name: "one link cut", inject: func(f *fleet) { setLinks(f, 2, 4, true) }, heal: func(f *fleet) { setLinks(f, 2, 4, false) }},
		{name: "one VM cut off", inject: func(f *fleet) {
			for i := range f.nodes {
				setLinks(f, 2, i, true)
			}
		}, heal: func(f *fleet) {
			for i := range f.nodes {
				setLinks(f, 2, i, false)
			}
		}},
		{name: "one VM cannot send", inject: func(f *fleet) {
			for i := range f.nodes {
				f.network.Block(address(2), address(i))
			}
		}, heal: func(f *fleet) {
			for i := range f.nodes {
				f.network.Unblock(address(2), address(i))
			}
		}},
		{name: "VM paused", inject: func(f *fleet) { f.nodes[2].Loop.Post(func() { time.Sleep(4 * time.Second) }) }},
		{name: "lossy network", inject: func(f *fleet) { f.network.SetLoss(0.02) }, heal: func(f *fleet) { f.network.SetLoss(0) }},
	}
	for _, c := range cases {
		for seed := uint64(1); seed <= faultSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", c.name, seed), func(t *testing.T) {
				parallel(t)
				synctest.Test(t, func(t *testing.T) { testFault(t, seed, c.dead, c.inject, c.heal, c.bound) })
			})
		}
	}
}

func testFault(t *testing.T, seed uint64, dead []int, inject, heal func(*fleet), bound time.Duration) {
	const programs, calls = 14, 12
	f := newFleet(t, 7, seed)
	defer f.stop()
	executions := &executionCounter{count: map[string]int{}}
	var worst time.Duration
	alive := func(i int) bool {
		for _, d := range dead {
			if d == i {
				return false
			}
		}
		return true
	}
	var wg sync.WaitGroup
	errs := make(chan error, programs)
	for n := range programs {
		wg.Go(func() { errs <- f.runProgram(executions, n, calls, alive, &worst) })
	}
	time.Sleep(300 * time.Millisecond)
	inject(f)
	if heal != nil {
		time.Sleep(15 * time.Second)
		heal(f)
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	for name, n := range executions.count {
		if n > 1 {
			t.Errorf("seed %d: %s ran %d times", seed, name, n)
		}
	}
	if bound > 0 && worst > bound {
		t.Errorf("seed %d: the slowest call took %s, expected at most %s", seed, worst, bound)
	}
	t.Logf("slowest call %s", worst)
}
