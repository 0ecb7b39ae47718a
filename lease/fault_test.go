package lease

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// fault is a failure that the tests inject.
type fault struct {
	name string
	do   func(c *cluster, victim int)
	// undo ends the fault after duration.
	undo     func(c *cluster, victim int)
	duration time.Duration
	// recoveryBound is the longest time after do until all slots are served; zero means no bound before undo.
	recoveryBound time.Duration
}

// takeoverBound is the longest time in which the slots of a killed VM must be served again.
const takeoverBound = 5 * time.Second

func (c *cluster) isolate(i int, in, out, on bool) {
	for j := range c.nodes {
		if j != i && out {
			c.cut(i, j, on)
		}
		if j != i && in {
			c.cut(j, i, on)
		}
	}
}

// pauseTime is longer than a lease.
const pauseTime = 4 * time.Second

// pause stops a VM for pauseTime, as when its process is suspended.
func pause(c *cluster, v int) {
	n := c.nodes[v]
	n.paused = time.Now().Add(pauseTime)
	n.loop.Post(func() { time.Sleep(pauseTime) })
}

var faults = []fault{
	{name: "kill", do: (*cluster).kill, recoveryBound: takeoverBound},
	{name: "pause", do: pause, duration: pauseTime + time.Second},
	{name: "cut-out", do: func(c *cluster, v int) { c.isolate(v, false, true, true) },
		undo: func(c *cluster, v int) { c.isolate(v, false, true, false) }, duration: 7 * time.Second},
	{name: "cut-in", do: func(c *cluster, v int) { c.isolate(v, true, false, true) },
		undo: func(c *cluster, v int) { c.isolate(v, true, false, false) }, duration: 7 * time.Second},
	{name: "cut-both", do: func(c *cluster, v int) { c.isolate(v, true, true, true) },
		undo: func(c *cluster, v int) { c.isolate(v, true, true, false) }, duration: 7 * time.Second},
	{name: "cut-all", do: func(c *cluster, v int) {
		c.isolate(v, true, true, true)
		c.nodes[v].offline.Store(true)
	}, undo: func(c *cluster, v int) {
		c.isolate(v, true, true, false)
		c.nodes[v].offline.Store(false)
	}, duration: 7 * time.Second},
	{name: "domain", do: func(c *cluster, v int) {
		for i := range c.nodes {
			if i%3 == v%3 && !c.nodes[i].dead {
				c.kill(i)
			}
		}
	}},
	{name: "outage", do: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.outage = true }) },
		undo: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.outage = false }) }, duration: 10 * time.Second, recoveryBound: takeoverBound},
	{name: "slow", do: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.latency = 5 * time.Second }) },
		undo: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.latency = 3 * time.Millisecond }) }, duration: 10 * time.Second, recoveryBound: takeoverBound},
	{name: "lost", do: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.lostResponses = 0.5 }) },
		undo: func(c *cluster, _ int) { c.platform.locked(func() { c.platform.lostResponses = 0 }) }, duration: 8 * time.Second, recoveryBound: takeoverBound},
	// Gossip may be wrong: a VM reported as dead keeps its lease and must not be taken over while the lease is valid.
	{name: "suspected", do: func(c *cluster, v int) { c.suspect(v, true) },
		undo: func(c *cluster, v int) { c.suspect(v, false) }, duration: 3 * time.Second, recoveryBound: time.Second},
	{name: "suspected-cut", do: func(c *cluster, v int) {
		c.suspect(v, true)
		c.isolate(v, false, true, true)
		c.nodes[v].offline.Store(true)
	}, undo: func(c *cluster, v int) {
		c.suspect(v, false)
		c.isolate(v, false, true, false)
		c.nodes[v].offline.Store(false)
	}, duration: 5 * time.Second},
	{name: "leave", do: func(c *cluster, v int) {
		n := c.nodes[v]
		n.loop.Post(func() {
			n.keeper.Leave(func() {
				c.mu.Lock()
				n.left = true
				c.mu.Unlock()
			})
		})
	}, recoveryBound: takeoverBound},
}

// runFaults applies faults to a fleet of 7 VMs and checks it until it has recovered.
func runFaults(t *testing.T, seed uint64, list []fault) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 7)
		defer c.close()
		c.untilServed(10 * time.Second)
		c.step(time.Duration(3000+c.rand.IntN(2000)) * time.Millisecond)
		c.untilServed(5 * time.Second)
		var duration, recoveryBound time.Duration
		victims := c.rand.Perm(7)
		for i, f := range list {
			c.faults = append(c.faults, fmt.Sprintf("%s(%d)", f.name, victims[i]))
			f.do(c, victims[i])
			duration = max(duration, f.duration)
			recoveryBound = f.recoveryBound
			if i+1 < len(list) {
				c.step(time.Duration(c.rand.IntN(20)) * 50 * time.Millisecond)
			}
		}
		start := time.Now()
		if len(list) == 1 && recoveryBound > 0 {
			c.step(100 * time.Millisecond)
			c.untilServed(recoveryBound)
		}
		c.step(duration - time.Since(start))
		for i, f := range list {
			if f.undo != nil {
				f.undo(c, victims[i])
			}
		}
		c.untilServed(60 * time.Second)
		c.step(2 * time.Second)
		c.untilServed(5 * time.Second)
	})
}

// seedCount returns the number of seeds to run: n, or race with the race detector.
func seedCount(n, race int) int {
	if raceDetector {
		return race
	}
	return n
}

func parallel(t *testing.T) {
	if !raceDetector {
		t.Parallel()
	}
}

// A fault must never lead to two owners of a slot, a lost record, or slots that stay without an owner.
func TestFaults(t *testing.T) {
	for i, f := range faults {
		for n := range seedCount(7, 1) {
			seed := uint64(1000*i + n + 1)
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				parallel(t)
				runFaults(t, seed, []fault{f})
			})
		}
	}
}

// Two overlapping faults must not break the guarantees that TestFaults checks.
func TestTwoFaults(t *testing.T) {
	for n := range seedCount(116, 12) {
		seed := uint64(100_000 + n)
		a, b := faults[n%len(faults)], faults[(n/len(faults)*3+n+1)%len(faults)]
		t.Run(fmt.Sprintf("%s+%s/%d", a.name, b.name, seed), func(t *testing.T) {
			parallel(t)
			runFaults(t, seed, []fault{a, b})
		})
	}
}

// VMs that join at the same moment must all become members and share the slots.
func TestJoinTogether(t *testing.T) {
	for n := 1; n <= 7; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, uint64(n), n)
				defer c.close()
				c.untilServed(10 * time.Second)
				c.step(8 * time.Second)
				c.untilServed(time.Second)
				for _, o := range c.nodes {
					domains := map[chestnutcleat.FailureDomain]bool{}
					for _, w := range o.keeper.own.subject.Witnesses {
						domains[o.keeper.fleet.member(w.VM).Domain] = true
					}
					// If a majority of the witnesses were in one failure domain, its loss would end the lease.
					if n >= 6 && len(domains) < 3 {
						c.fail("the witnesses of %s are in %d failure domains", o.vm.ID, len(domains))
					}
					if got := len(c.served(o)); got < chestnutcleat.SlotCount/n*7/10 {
						c.fail("%s serves %d slots", o.vm.ID, got)
					}
				}
			})
		})
	}
}

// In a small fleet a dead VM may be one of the witnesses that the survivors need for a majority; they must recover anyway.
func TestSmallFleets(t *testing.T) {
	for n := 2; n <= 4; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, uint64(n), n)
				defer c.close()
				c.untilServed(10 * time.Second)
				c.step(8 * time.Second)
				c.kill(1)
				c.untilServed(15 * time.Second)
				c.step(3 * time.Second)
				c.add(n, "vm1", 2)
				c.step(8 * time.Second)
				c.untilServed(time.Second)
				if got := len(c.served(c.nodes[n])); got < chestnutcleat.SlotCount/n*7/10 {
					c.fail("the restarted VM serves %d slots", got)
				}
			})
		})
	}
}

// The only VM of a fleet must keep serving during a platform outage, and after a restart it must load its records from the
// platform.
func TestSingleVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		c.untilServed(5 * time.Second)
		c.step(5 * time.Second)
		c.platform.locked(func() { c.platform.outage = true })
		for range 600 {
			c.step(100 * time.Millisecond)
			if got := c.servedCount(); got != chestnutcleat.SlotCount {
				c.fail("%d slots are served in an outage", got)
			}
		}
		c.platform.locked(func() { c.platform.outage = false })
		c.step(5 * time.Second)
		c.kill(0)
		c.step(time.Second)
		c.add(1, "vm0", 2)
		c.untilServed(5 * time.Second)
	})
}

// A damaged fleet object must be rejected, as it could name wrong owners.
func TestFleetDecoding(t *testing.T) {
	is := is.New(t)
	f := &Fleet{}
	f.add(Member{VM: "a", Incarnation: 1, Domain: "d"})
	f.add(Member{VM: "b", Incarnation: 1, Domain: "e"})
	data, err := json.Marshal(f)
	is.NoErr(err)
	back := &Fleet{}
	is.NoErr(json.Unmarshal(data, back))
	is.Equal(back, f)
	for _, damage := range [][2]string{
		{`"vm":"b","inc"`, `"vm":"a","inc"`},
		{`{"epoch":2,`, `{"epoch":1,`},
		{`"wit":[[0,2]]`, `"wit":[[1,2]]`},
		{`"wit":[[0,2]]`, `"wit":[[2,2]]`},
		{`"holdings":[{"vm":"a"`, `"holdings":[{"vm":"c"`},
	} {
		is.True(strings.Contains(string(data), damage[0]))
		is.True(json.Unmarshal([]byte(strings.Replace(string(data), damage[0], damage[1], 1)), &Fleet{}) != nil)
	}
	is.True(json.Unmarshal([]byte(`{"slots":"AAA="}`), &Fleet{}) != nil)
}

// The fleet object must stay within the platform's size limit at the fleet size expected in two years.
func TestFleetSize(t *testing.T) {
	is := is.New(t)
	f := &Fleet{}
	var live []chestnutcleat.VMID
	for i := range 400 {
		id := chestnutcleat.VMID(fmt.Sprintf("vm-%03d", i))
		f.add(Member{VM: id, Incarnation: 1_700_000_000_000, Address: "10.100.200.100:7000", Caller: "10.100.200.100:8080", Domain: chestnutcleat.FailureDomain(fmt.Sprint("domain-", i%7))})
		live = append(live, id)
	}
	for s := range f.Owners {
		f.Owners[s] = holding{highestRanked(slotName(chestnutcleat.Slot(s)), live), f.Epoch}
	}
	data, err := json.Marshal(f)
	is.NoErr(err)
	t.Logf("%d bytes at 400 VMs", len(data))
	is.True(len(data) < 100_000)
}
