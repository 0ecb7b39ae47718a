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

// fault is one entry of the fault table.
type fault struct {
	name string
	do   func(c *cluster, victim int)
	// undo ends the fault after hold.
	undo func(c *cluster, victim int)
	hold time.Duration
	// within bounds the time after do until all slots are served; zero for no bound before undo.
	within time.Duration
}

// takeoverBound is the requirement for a killed VM.
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

var faults = []fault{
	{name: "kill", do: (*cluster).kill, within: takeoverBound},
	{name: "pause", do: func(c *cluster, v int) {
		n := c.nodes[v]
		n.paused = time.Now().Add(4 * time.Second)
		n.loop.Post(func() { time.Sleep(4 * time.Second) })
	}, hold: 5 * time.Second},
	{name: "cut-out", do: func(c *cluster, v int) { c.isolate(v, false, true, true) },
		undo: func(c *cluster, v int) { c.isolate(v, false, true, false) }, hold: 7 * time.Second},
	{name: "cut-in", do: func(c *cluster, v int) { c.isolate(v, true, false, true) },
		undo: func(c *cluster, v int) { c.isolate(v, true, false, false) }, hold: 7 * time.Second},
	{name: "cut-both", do: func(c *cluster, v int) { c.isolate(v, true, true, true) },
		undo: func(c *cluster, v int) { c.isolate(v, true, true, false) }, hold: 7 * time.Second},
	{name: "cut-all", do: func(c *cluster, v int) {
		c.isolate(v, true, true, true)
		c.nodes[v].offline.Store(true)
	}, undo: func(c *cluster, v int) {
		c.isolate(v, true, true, false)
		c.nodes[v].offline.Store(false)
	}, hold: 7 * time.Second},
	{name: "domain", do: func(c *cluster, v int) {
		for i := range c.nodes {
			if i%3 == v%3 && !c.nodes[i].dead {
				c.kill(i)
			}
		}
	}},
	{name: "outage", do: func(c *cluster, _ int) { c.platform.set(func() { c.platform.outage = true }) },
		undo: func(c *cluster, _ int) { c.platform.set(func() { c.platform.outage = false }) }, hold: 10 * time.Second, within: takeoverBound},
	{name: "slow", do: func(c *cluster, _ int) { c.platform.set(func() { c.platform.latency = 5 * time.Second }) },
		undo: func(c *cluster, _ int) { c.platform.set(func() { c.platform.latency = 3 * time.Millisecond }) }, hold: 10 * time.Second, within: takeoverBound},
	{name: "lost", do: func(c *cluster, _ int) { c.platform.set(func() { c.platform.lost = 0.5 }) },
		undo: func(c *cluster, _ int) { c.platform.set(func() { c.platform.lost = 0 }) }, hold: 8 * time.Second, within: takeoverBound},
	// Gossip may be wrong: a VM that is taken for dead keeps its lease, and must not be taken over while it has it.
	{name: "suspected", do: func(c *cluster, v int) { c.suspect(v, true) },
		undo: func(c *cluster, v int) { c.suspect(v, false) }, hold: 3 * time.Second, within: time.Second},
	{name: "suspected-cut", do: func(c *cluster, v int) {
		c.suspect(v, true)
		c.isolate(v, false, true, true)
		c.nodes[v].offline.Store(true)
	}, undo: func(c *cluster, v int) {
		c.suspect(v, false)
		c.isolate(v, false, true, false)
		c.nodes[v].offline.Store(false)
	}, hold: 5 * time.Second},
	{name: "leave", do: func(c *cluster, v int) {
		n := c.nodes[v]
		n.loop.Post(func() {
			n.keeper.Leave(func() {
				c.mu.Lock()
				n.left = true
				c.mu.Unlock()
			})
		})
	}, within: takeoverBound},
}

// run applies faults to a fleet of 7 VMs and checks it until it has recovered.
func run(t *testing.T, seed uint64, list []fault) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 7)
		defer c.close()
		c.until(10 * time.Second)
		c.step(time.Duration(3000+c.rand.IntN(2000)) * time.Millisecond)
		c.until(5 * time.Second)
		var hold, within time.Duration
		victims := c.rand.Perm(7)
		for i, f := range list {
			c.faults = append(c.faults, fmt.Sprintf("%s(%d)", f.name, victims[i]))
			f.do(c, victims[i])
			hold = max(hold, f.hold)
			within = f.within
			if i+1 < len(list) {
				c.step(time.Duration(c.rand.IntN(20)) * 50 * time.Millisecond)
			}
		}
		start := time.Now()
		if len(list) == 1 && within > 0 {
			c.step(100 * time.Millisecond)
			c.until(within)
		}
		c.step(hold - time.Since(start))
		for i, f := range list {
			if f.undo != nil {
				f.undo(c, victims[i])
			}
		}
		c.until(60 * time.Second)
		c.step(2 * time.Second)
		c.until(5 * time.Second)
	})
}

// seeds returns the number of seeds with and without the race detector.
func seeds(n, race int) int {
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

// A fault must never lead to two owners of a slot, to a lost record, or to slots that stay without owner.
func TestFaults(t *testing.T) {
	for i, f := range faults {
		for n := range seeds(7, 1) {
			seed := uint64(1000*i + n + 1)
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				parallel(t)
				run(t, seed, []fault{f})
			})
		}
	}
}

// Two faults at once must keep the same guarantees.
func TestTwoFaults(t *testing.T) {
	for n := range seeds(116, 12) {
		seed := uint64(100_000 + n)
		a, b := faults[n%len(faults)], faults[(n/len(faults)*3+n+1)%len(faults)]
		t.Run(fmt.Sprintf("%s+%s/%d", a.name, b.name, seed), func(t *testing.T) {
			parallel(t)
			run(t, seed, []fault{a, b})
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
				c.until(10 * time.Second)
				c.step(8 * time.Second)
				c.until(time.Second)
				for _, o := range c.nodes {
					domains := map[chestnutcleat.FailureDomain]bool{}
					for _, w := range o.keeper.own.subject.Witnesses {
						domains[o.keeper.fleet.member(w.VM).Domain] = true
					}
					// A majority of witnesses in one failure domain would lose the lease with the domain.
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

// In a small fleet the VM that died may be needed for the survivors' majority.
func TestSmallFleets(t *testing.T) {
	for n := 2; n <= 4; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, uint64(n), n)
				defer c.close()
				c.until(10 * time.Second)
				c.step(8 * time.Second)
				c.kill(1)
				c.until(15 * time.Second)
				c.step(3 * time.Second)
				c.add(n, "vm1", 2)
				c.step(8 * time.Second)
				c.until(time.Second)
				if got := len(c.served(c.nodes[n])); got < chestnutcleat.SlotCount/n*7/10 {
					c.fail("the restarted VM serves %d slots", got)
				}
			})
		})
	}
}

// The only VM of a fleet must go on during an outage, and a new run of it must find the records at the platform.
func TestSingleVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		c.until(5 * time.Second)
		c.step(5 * time.Second)
		c.platform.set(func() { c.platform.outage = true })
		for range 600 {
			c.step(100 * time.Millisecond)
			if got := c.count(); got != chestnutcleat.SlotCount {
				c.fail("%d slots are served in an outage", got)
			}
		}
		c.platform.set(func() { c.platform.outage = false })
		c.step(5 * time.Second)
		c.kill(0)
		c.step(time.Second)
		c.add(1, "vm0", 2)
		c.until(5 * time.Second)
	})
}

// A fleet object that was damaged must be refused rather than lead to wrong owners.
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

// The fleet object must stay small enough for the platform at the two-year size.
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
		f.Owners[s] = holding{choose(slotName(chestnutcleat.Slot(s)), live), f.Epoch}
	}
	data, err := json.Marshal(f)
	is.NoErr(err)
	t.Logf("%d bytes at 400 VMs", len(data))
	is.True(len(data) < 100_000)
}
