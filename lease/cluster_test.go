package lease

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/vm"
)

// gossipDelay is how long the simulated gossip takes to detect that a VM is unreachable.
const gossipDelay = 1500 * time.Millisecond

// node is one VM of a test fleet.
type node struct {
	vm       chestnutcleat.VM
	keeper   *Keeper
	loop     *control.Loop
	stop     context.CancelFunc
	counters *counterState
	dead     bool
	// suspected makes the other nodes' gossip report the node as dead.
	suspected bool
	// offline disconnects the node from the platform.
	offline atomic.Bool
	left    bool
	paused  time.Time
	// seen is when the platform last saw the VM.
	seen time.Time
	// reached is when each other node was last reached.
	reached map[int]time.Time
}

// cluster is a fleet in one test process.
type cluster struct {
	t        *testing.T
	seed     uint64
	rand     *rand.Rand
	network  *vm.Network
	platform *fakePlatform
	nodes    []*node
	cuts     map[[2]int]bool
	mu       sync.Mutex
	// acked is the highest confirmed counter of each record.
	acked  map[string]uint64
	faults []string
	// idle stops the writes of counter records.
	idle atomic.Bool
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)),
		network: vm.NewNetwork(seed), platform: newFakePlatform(seed),
		cuts: map[[2]int]bool{}, acked: map[string]uint64{},
	}
	c.network.Delay = 500 * time.Microsecond
	for i := range n {
		c.add(i, chestnutcleat.VMID(fmt.Sprintf("vm%d", i)), 1)
	}
	return c
}

func (c *cluster) add(i int, id chestnutcleat.VMID, inc chestnutcleat.Incarnation) *node {
	n := &node{loop: control.New(), reached: map[int]time.Time{}}
	n.vm = chestnutcleat.VM{
		ID: id, Incarnation: inc, State: chestnutcleat.VMLive, Domain: chestnutcleat.FailureDomain(fmt.Sprint("d", i%3)),
		Address: chestnutcleat.Address(fmt.Sprintf("%s/%d", id, inc)), CallerAddress: chestnutcleat.Address(id),
	}
	n.counters = &counterState{cluster: c, node: n, values: map[chestnutcleat.Slot]uint64{}, exported: map[chestnutcleat.Slot]bool{}}
	n.keeper = &Keeper{
		Self: n.vm, Loop: n.loop, Peers: c.network.From(n.vm.Address), Platform: &platformLink{fakePlatform: c.platform, node: n},
		Members: func() []chestnutcleat.VM { return c.members(n) },
		States:  map[chestnutcleat.Kind]chestnutcleat.SlotState{chestnutcleat.KindProgram: n.counters},
		Rand:    rand.New(rand.NewPCG(c.seed, uint64(i)+100)),
	}
	mux := vm.NewMux()
	n.keeper.Register(mux, n.loop.Post)
	c.network.Attach(n.vm.Address, mux)
	c.mu.Lock()
	for j, o := range c.nodes {
		n.reached[j] = time.Now()
		o.reached[len(c.nodes)] = time.Now()
	}
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.loop.Run(ctx)
	go c.watchFleet(ctx, n)
	n.loop.Post(n.keeper.Start)
	n.loop.After(50*time.Millisecond, func() { n.counters.changeCounters() })
	return n
}

func (c *cluster) watchFleet(ctx context.Context, n *node) {
	var after chestnutcleat.Version
	for ctx.Err() == nil {
		list, err := n.keeper.Platform.Watch(ctx, []chestnutcleat.ObjectName{fleetName}, after)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, o := range list {
			after = max(after, o.Version)
			n.loop.Post(func() { n.keeper.AdoptFleet(o) })
		}
	}
}

// members returns the VMs that gossip reports to a node.
func (c *cluster) members(n *node) []chestnutcleat.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []chestnutcleat.VM{n.vm}
	for i, o := range c.nodes {
		if o != n && !o.left && !o.suspected && time.Since(n.reached[i]) < gossipDelay {
			list = append(list, o.vm)
		}
	}
	return list
}

func (c *cluster) up(i int) bool {
	return !c.nodes[i].dead && time.Now().After(c.nodes[i].paused)
}

// updateReachability records which nodes can reach each other, directly or through a third VM,
// and which VMs the platform lists.
func (c *cluster) updateReachability() {
	c.mu.Lock()
	defer c.mu.Unlock()
	both := func(a, b int) bool { return c.up(a) && c.up(b) && !c.cuts[[2]int{a, b}] && !c.cuts[[2]int{b, a}] }
	for i, n := range c.nodes {
		for j := range c.nodes {
			ok := both(i, j)
			for w := 0; w < len(c.nodes) && !ok; w++ {
				ok = both(i, w) && both(w, j)
			}
			if ok {
				n.reached[j] = time.Now()
			}
		}
	}
	var listed []chestnutcleat.ListedVM
	for i, n := range c.nodes {
		if c.up(i) {
			n.seen = time.Now()
		}
		if !n.left && time.Since(n.seen) < 10*time.Second {
			listed = append(listed, chestnutcleat.ListedVM{ID: n.vm.ID, Address: n.vm.Address})
		}
	}
	c.platform.locked(func() { c.platform.listed = listed })
}

// step runs the fleet for d and checks it every 50 ms.
func (c *cluster) step(d time.Duration) {
	const interval = 50 * time.Millisecond
	for ; d > 0; d -= interval {
		time.Sleep(interval)
		c.updateReachability()
		synctest.Wait()
		c.check()
	}
}

// check fails the test if a slot has two owners.
func (c *cluster) check() {
	var owner [chestnutcleat.SlotCount]*node
	for _, n := range c.nodes {
		for _, s := range c.served(n) {
			if o := owner[s]; o != nil {
				c.fail("slot %d is served by %s and %s", s, o.vm.ID, n.vm.ID)
			}
			owner[s] = n
		}
	}
}

// served lists the slots that a VM serves; all other goroutines must be blocked.
func (c *cluster) served(n *node) []chestnutcleat.Slot {
	if n.dead || !time.Now().After(n.paused) {
		return nil
	}
	list := n.keeper.served()
	// Orders the control goroutine's next step after these reads.
	n.loop.Post(func() {})
	return list
}

// served lists the slots whose Check succeeds; it evaluates each lease once.
func (k *Keeper) served() []chestnutcleat.Slot {
	now := time.Now()
	if k.fleet == nil || !k.valid(now) {
		return nil
	}
	ok := map[chestnutcleat.VMID]bool{k.Self.ID: true}
	for id, h := range k.temporary {
		ok[id] = h.valid(now)
	}
	var list []chestnutcleat.Slot
	var lastOwner chestnutcleat.VMID
	lastValid := false
	for s, state := range k.slots {
		if state != slotReady {
			continue
		}
		if id := k.fleet.Owners[s].VM; id != lastOwner || s == 0 {
			lastOwner, lastValid = id, ok[id]
		}
		if lastValid {
			list = append(list, chestnutcleat.Slot(s))
		}
	}
	return list
}

// servedCount returns how many slots are served.
func (c *cluster) servedCount() int {
	n := 0
	for _, o := range c.nodes {
		n += len(c.served(o))
	}
	return n
}

// untilServed runs the fleet until all slots are served and returns how long it took.
func (c *cluster) untilServed(limit time.Duration) time.Duration {
	start := time.Now()
	synctest.Wait()
	for c.servedCount() < chestnutcleat.SlotCount {
		if time.Since(start) > limit {
			c.fail("only %d slots are served after %s", c.servedCount(), limit)
		}
		c.step(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *cluster) fail(format string, args ...any) {
	c.t.Helper()
	for _, n := range c.nodes {
		k := n.keeper
		lease := k.own != nil && k.valid(time.Now())
		c.t.Logf("%s: dead %v left %v lease %v version %d served %d takeovers %d temporary %d updates %d", n.vm.ID, n.dead, n.left, lease, k.version, len(k.served()), len(k.takeovers), len(k.temporary), len(k.updates))
	}
	c.t.Fatalf("seed %d, faults %v: %s", c.seed, c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) kill(i int) {
	n := c.nodes[i]
	c.mu.Lock()
	n.dead = true
	c.mu.Unlock()
	n.stop()
	c.network.Detach(n.vm.Address)
}

func (c *cluster) suspect(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].suspected = on
}

func (c *cluster) cut(i, j int, on bool) {
	c.mu.Lock()
	c.cuts[[2]int{i, j}] = on
	c.mu.Unlock()
	a, b := c.nodes[i].vm.Address, c.nodes[j].vm.Address
	if on {
		c.network.Block(a, b)
	} else {
		c.network.Unblock(a, b)
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

// counterState implements chestnutcleat.SlotState with one counter per slot; each change writes a record.
type counterState struct {
	cluster *cluster
	node    *node
	values  map[chestnutcleat.Slot]uint64
	// exported holds the slots after Export until Import, Drop or Resume; the real states don't serve them.
	exported map[chestnutcleat.Slot]bool
}

func recordName(s chestnutcleat.Slot) string { return fmt.Sprintf("program/%d", s) }

func (c *counterState) record(s chestnutcleat.Slot) chestnutcleat.Record {
	return chestnutcleat.Record{Slot: s, Name: recordName(s), Data: binary.BigEndian.AppendUint64(nil, c.values[s]), Urgent: s%2 == 0}
}

// changeCounters increments the counters of a few slots that this VM serves.
func (c *counterState) changeCounters() {
	k := c.node.keeper
	for range 3 {
		s := chestnutcleat.Slot(k.Rand.IntN(chestnutcleat.SlotCount) &^ 63)
		if c.cluster.idle.Load() || !k.serves(s) {
			continue
		}
		if c.exported[s] {
			c.cluster.t.Errorf("seed %d, faults %v: %s serves slot %d without a call of Resume after Export", c.cluster.seed, c.cluster.faults, c.node.vm.ID, s)
		}
		c.values[s]++
		v := c.values[s]
		k.Append([]chestnutcleat.Record{c.record(s)}, func(err error) {
			if err == nil {
				c.cluster.mu.Lock()
				c.cluster.acked[recordName(s)] = max(v, c.cluster.acked[recordName(s)])
				c.cluster.mu.Unlock()
			}
		})
	}
	c.node.loop.After(100*time.Millisecond, c.changeCounters)
}

func (c *counterState) Import(s chestnutcleat.Slot, records []chestnutcleat.Record, t chestnutcleat.Transfer) {
	c.values[s] = 0
	delete(c.exported, s)
	for _, r := range records {
		c.values[s] = max(c.values[s], binary.BigEndian.Uint64(r.Data))
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if want := c.cluster.acked[recordName(s)]; c.values[s] < want {
		c.cluster.t.Errorf("seed %d, faults %v: %s imported slot %d at %d, confirmed %d (%+v)", c.cluster.seed, c.cluster.faults, c.node.vm.ID, s, c.values[s], want, t)
	}
}

func (c *counterState) Export(s chestnutcleat.Slot) []chestnutcleat.Record {
	c.exported[s] = true
	if c.values[s] == 0 {
		return nil
	}
	return []chestnutcleat.Record{c.record(s)}
}

func (c *counterState) Resume(s chestnutcleat.Slot) { delete(c.exported, s) }

func (c *counterState) Drop(s chestnutcleat.Slot) {
	delete(c.values, s)
	delete(c.exported, s)
}
