package node_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

var scale = flag.Int("scale", 25, "number of VMs of TestScale: 25, 100 or 400, which takes minutes")

const (
	// maxBytesPerSecond, maxHeap and maxCPU bound the overhead of the control state per VM.
	maxBytesPerSecond = 4 << 10
	maxHeap           = 64 << 20
	maxCPU            = 0.025
)

// usage is the cumulative resource usage of a fleet at a point in time.
type usage struct {
	at              time.Time
	messages, bytes int
	calls           int
	cpu             time.Duration
	heap            uint64
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), heap: resources.LiveHeap(), cpu: resources.CPUTime(f.t)}
	for i := range f.nodes {
		t := f.network.Traffic(address(i))
		u.messages += t.Messages
		u.bytes += t.Bytes
	}
	for _, c := range f.store.Counts() {
		u.calls += c.Calls
	}
	return u
}

// TestScale guards against overhead per VM that grows with the fleet. It does not run in parallel with other tests,
// as it measures the CPU time and memory of the process.
func TestScale(t *testing.T) {
	n := *scale
	t.Run(fmt.Sprintf("VMs=%d", n), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testScale(t, n, 1) })
	})
}

func testScale(t *testing.T, n int, seed uint64) {
	period := 20 * time.Second
	empty := resources.LiveHeap()
	begun := resources.CPUTime(t)
	f := newFleetWithPause(t, n, seed, 50*time.Millisecond)
	defer f.stop()
	time.Sleep(20 * time.Second)
	t.Logf("seed %d, %d VMs: start used %s of CPU time", seed, n, resources.CPUTime(t)-begun)
	for i := range f.nodes {
		if err := f.nodes[i].Ready(t.Context()); err != nil {
			t.Fatalf("seed %d: VM %d of %d: %v", seed, i, n, err)
		}
	}
	before := f.usage()
	time.Sleep(period)
	after := f.usage()
	f.checkOverhead("idle", n, empty, before, after)
	before = f.usage()
	lost := f.nodes[n/2].Self.ID
	f.kill(n / 2)
	takeoverTime := f.awaitTakeover(lost)
	time.Sleep(period - time.Since(before.at))
	f.checkOverhead("VM killed", n, empty, before, f.usage())
	if takeoverTime > 5*time.Second {
		t.Errorf("seed %d: takeover took %s, expected at most 5s", seed, takeoverTime)
	}
	t.Logf("seed %d, %d VMs: takeover after %s", seed, n, takeoverTime)
}

// awaitTakeover waits until node 0 no longer locates sampled slots at the lost VM, and returns how long that took.
func (f *fleet) awaitTakeover(lost chestnutcleat.VMID) time.Duration {
	begun := time.Now()
	var keys []chestnutcleat.Key
	for i := 0; len(keys) < 3 && i < 100_000; i++ {
		k := chestnutcleat.CustomerKey(chestnutcleat.CustomerID(fmt.Sprint("c", i)))
		if f.nodes[0].Place(k).VM == lost {
			keys = append(keys, k)
		}
	}
	for time.Since(begun) < 15*time.Second {
		stale := len(keys) == 0
		for _, k := range keys {
			stale = stale || f.nodes[0].Place(k).VM == lost
		}
		if !stale {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begun)
}

// checkOverhead logs the usage per VM between two points in time and compares it with the bounds.
func (f *fleet) checkOverhead(what string, n int, empty uint64, before, after usage) {
	seconds := after.at.Sub(before.at).Seconds() * float64(n)
	bytes := float64(after.bytes-before.bytes) / seconds
	cpu := (after.cpu - before.cpu).Seconds() / seconds
	heap := (float64(after.heap) - float64(empty)) / float64(n)
	f.t.Logf("%s, %d VMs: per VM %.1f messages/s, %.0f bytes/s, %.3f platform calls per 10 s, %.2f%% of a core, %.2f MB of heap",
		what, n, float64(after.messages-before.messages)/seconds, bytes, float64(after.calls-before.calls)/seconds*10, 100*cpu, heap/(1<<20))
	if bytes > maxBytesPerSecond {
		f.t.Errorf("%s, %d VMs: %.0f bytes per second per VM, expected at most %d", what, n, bytes, maxBytesPerSecond)
	}
	if heap > maxHeap {
		f.t.Errorf("%s, %d VMs: %.0f bytes of heap per VM, expected at most %d", what, n, heap, maxHeap)
	}
	if cpu > maxCPU {
		f.t.Errorf("%s, %d VMs: %.4f cores per VM, expected at most %v", what, n, cpu, maxCPU)
	}
}
