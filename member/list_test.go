package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/member"
	"chestnutcleat.example/chestnutcleat/vm"
)

// node is one VM of a test.
type node struct {
	list *member.List
	loop *control.Loop
	ctx  context.Context
	stop func()
}

// fleet is a set of VMs on one in-memory network.
type fleet struct {
	t       *testing.T
	network *vm.Network
	nodes   map[string]*node
	seeds   atomic.Pointer[[]chestnutcleat.Address]
}

const seed = 7

func newFleet(t *testing.T, n int, loss float64) *fleet {
	t.Logf("seed %d", seed)
	f := &fleet{t: t, network: vm.NewNetwork(seed), nodes: map[string]*node{}}
	f.network.Delay = time.Millisecond
	f.network.SetLoss(loss)
	// Wait for the requests of stopped VMs to time out.
	t.Cleanup(func() { time.Sleep(5 * time.Second) })
	f.setSeeds("a000", "a001", "a002")
	for i := range n {
		f.add(vmID(i), 1)
	}
	return f
}

// setSeeds replaces the seeds of all VMs.
func (f *fleet) setSeeds(seeds ...chestnutcleat.Address) { f.seeds.Store(&seeds) }

func vmID(i int) string { return fmt.Sprintf("%03d", i) }

// add starts a VM.
func (f *fleet) add(id string, incarnation chestnutcleat.Incarnation) *node {
	return f.addAt(id, chestnutcleat.Address("a"+id), incarnation)
}

// addAt starts a VM at an address.
func (f *fleet) addAt(id string, address chestnutcleat.Address, incarnation chestnutcleat.Incarnation) *node {
	ctx, cancel := context.WithCancel(f.t.Context())
	r := rand.New(rand.NewPCG(seed, uint64(len(f.nodes))))
	l := &member.List{Self: chestnutcleat.VM{ID: chestnutcleat.VMID(id), Incarnation: incarnation, Address: address, CallerAddress: "10.0.0.1:8080", Domain: "petrolina"}, Rand: r}
	n := &node{list: l, loop: control.New(), ctx: ctx}
	l.Loop = n.loop
	l.Peers = f.network.From(address)
	l.Seeds = func() []chestnutcleat.Address { return *f.seeds.Load() }
	done := make(chan struct{})
	go func() { n.loop.Run(ctx); close(done) }()
	mux := vm.NewMux()
	l.Register(mux, func(step func()) error { return n.loop.Do(ctx, step) })
	f.network.Attach(address, mux)
	n.stop = func() {
		f.network.Detach(address)
		cancel()
		<-done
	}
	f.t.Cleanup(n.stop)
	f.nodes[id] = n
	n.do(l.Start)
	return n
}

// do runs a step in the control goroutine unless the VM is stopped.
func (n *node) do(step func()) {
	n.loop.Do(n.ctx, step)
}

// kill stops a VM without a graceful shutdown.
func (f *fleet) kill(id string) {
	f.nodes[id].stop()
	delete(f.nodes, id)
}

// isolate cuts one VM off from all others in both directions, or reconnects it.
func (f *fleet) isolate(id string, cut bool) {
	for other := range f.nodes {
		a, b := chestnutcleat.Address("a"+id), chestnutcleat.Address("a"+other)
		if cut {
			f.network.Block(a, b)
			f.network.Block(b, a)
		} else {
			f.network.Unblock(a, b)
			f.network.Unblock(b, a)
		}
	}
}

// listedBy returns how many VMs list a VM as a member.
func (f *fleet) listedBy(id string) int {
	count := 0
	for _, n := range f.nodes {
		for _, v := range n.list.Snapshot() {
			if string(v.ID) == id {
				count++
			}
		}
	}
	return count
}

// allAgree reports whether all VMs list as many members as the fleet has.
func (f *fleet) allAgree() bool {
	for _, n := range f.nodes {
		if len(n.list.Snapshot()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// itemHolders returns how many VMs have an item at a version.
func (f *fleet) itemHolders(name string, version uint64) int {
	count := 0
	for _, n := range f.nodes {
		n.do(func() {
			if _, v, ok := n.list.Get(name); ok && v == version {
				count++
			}
		})
	}
	return count
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Each case guards against a VM or an item that is wrongly kept, lost or brought back.
func TestMembership(t *testing.T) {
	cases := []struct {
		name string
		run  func(is *is.I, f *fleet)
	}{
		{"a killed VM is gone everywhere within 3.5 s", func(is *is.I, f *fleet) {
			f.kill("003")
			advance(3500 * time.Millisecond)
			is.Equal(f.listedBy("003"), 0)
		}},
		{"three killed VMs", func(is *is.I, f *fleet) {
			for _, id := range []string{"001", "003", "004"} {
				f.kill(id)
			}
			advance(6 * time.Second)
			is.True(f.allAgree())
		}},
		{"a cut in one direction between two VMs", func(is *is.I, f *fleet) {
			f.network.Block("a002", "a005")
			for range 60 {
				advance(time.Second)
				is.True(f.allAgree())
			}
		}},
		{"a slow VM refutes", func(is *is.I, f *fleet) {
			n := f.nodes["002"]
			n.loop.Post(func() { time.Sleep(1200 * time.Millisecond) })
			for range 10 {
				advance(time.Second)
				is.Equal(f.listedBy("002"), 7)
			}
		}},
		{"a paused VM is not fooled by its own timers", func(is *is.I, f *fleet) {
			n := f.nodes["002"]
			n.loop.Post(func() { time.Sleep(20 * time.Second) })
			for range 30 {
				advance(time.Second)
				is.Equal(len(n.list.Snapshot()), 7)
			}
			is.True(f.allAgree())
			is.True(n.list.Snapshot()[2].Incarnation > 1)
		}},
		{"a list with dead and missing VMs", func(is *is.I, f *fleet) {
			f.kill("001")
			f.kill("002")
			f.setSeeds("a001", "a002", "a999", "a004")
			f.add("010", 1)
			advance(5 * time.Second)
			is.True(f.allAgree())
			is.Equal(f.listedBy("001"), 0)
		}},
		{"an old list does not bring a VM back", func(is *is.I, f *fleet) {
			f.kill("001")
			advance(time.Minute)
			f.add("010", 1)
			for range 20 {
				advance(time.Second)
				is.Equal(f.listedBy("001"), 0)
			}
		}},
		{"another VM takes over the address", func(is *is.I, f *fleet) {
			f.kill("003")
			f.addAt("010", "a003", 1)
			advance(5 * time.Second)
			is.True(f.allAgree())
			is.Equal(f.listedBy("003"), 0)
		}},
		{"two halves that are cut for one hour", func(is *is.I, f *fleet) {
			for _, id := range []string{"000", "001", "002"} {
				for _, other := range []string{"003", "004", "005", "006"} {
					a, b := chestnutcleat.Address("a"+id), chestnutcleat.Address("a"+other)
					f.network.Block(a, b)
					f.network.Block(b, a)
					time.AfterFunc(time.Hour, func() {
						f.network.Unblock(a, b)
						f.network.Unblock(b, a)
					})
				}
			}
			advance(time.Hour)
			is.Equal(f.listedBy("000"), 3)
			is.Equal(f.listedBy("006"), 4)
			advance(8 * time.Second)
			is.True(f.allAgree())
		}},
		{"a VM restarts with a higher incarnation", func(is *is.I, f *fleet) {
			f.kill("003")
			advance(5 * time.Second)
			f.add("003", 2)
			advance(3 * time.Second)
			is.True(f.allAgree())
		}},
		{"a VM restarts before it was declared gone", func(is *is.I, f *fleet) {
			f.kill("003")
			advance(500 * time.Millisecond)
			f.add("003", 2)
			advance(3 * time.Second)
			is.True(f.allAgree())
			is.Equal(f.nodes["000"].list.Snapshot()[3].Incarnation, chestnutcleat.Incarnation(2))
		}},
		{"an empty list of seeds at the others", func(is *is.I, f *fleet) {
			f.isolate("006", true)
			advance(time.Minute)
			is.Equal(f.listedBy("006"), 1)
			f.setSeeds()
			f.isolate("006", false)
			advance(10 * time.Second)
			is.True(f.allAgree())
		}},
		{"a leaving VM stays listed and is not live", func(is *is.I, f *fleet) {
			n := f.nodes["004"]
			n.do(n.list.Leave)
			advance(3 * time.Second)
			is.True(f.allAgree())
			for _, o := range f.nodes {
				o.do(func() { is.Equal(len(o.list.Live()), 6) })
			}
			f.kill("004")
			advance(4 * time.Second)
			is.Equal(f.listedBy("004"), 0)
		}},
		{"items converge within 5 s and never go back", func(is *is.I, f *fleet) {
			n, o := f.nodes["000"], f.nodes["005"]
			n.do(func() { n.list.Put("manifest", 2, make([]byte, 5000)) })
			o.do(func() { o.list.Put("manifest", 1, nil) })
			for i := range 50 {
				n.do(func() { n.list.Put(fmt.Sprintf("key/%d", i), 1, make([]byte, 40)) })
			}
			advance(5 * time.Second)
			is.Equal(f.itemHolders("manifest", 2), 7)
			for i := range 50 {
				is.Equal(f.itemHolders(fmt.Sprintf("key/%d", i), 1), 7)
			}
		}},
		{"an expired item is forgotten everywhere", func(is *is.I, f *fleet) {
			n := f.nodes["000"]
			n.do(func() { n.list.PutUntil("load", 1, nil, time.Now().Add(10*time.Second)) })
			advance(5 * time.Second)
			is.Equal(f.itemHolders("load", 1), 7)
			advance(10 * time.Second)
			is.Equal(f.itemHolders("load", 1), 0)
		}},
		{"items after a cut of one hour", func(is *is.I, f *fleet) {
			n, isolated := f.nodes["000"], f.nodes["006"]
			f.isolate("006", true)
			advance(time.Hour / 2)
			n.do(func() { n.list.Put("manifest", 9, []byte("m")) })
			isolated.do(func() { isolated.list.Put("key", 3, nil) })
			advance(time.Hour / 2)
			is.Equal(f.itemHolders("manifest", 9), 6)
			f.isolate("006", false)
			advance(5 * time.Second)
			is.Equal(f.itemHolders("manifest", 9), 7)
			is.Equal(f.itemHolders("key", 3), 7)
			is.True(f.allAgree())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 7, 0)
				advance(5 * time.Second)
				is.True(f.allAgree())
				c.run(is, f)
			})
		})
	}
}

// A live VM must not be declared gone because some messages are lost.
func TestLossOfMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7, 0.05)
		advance(10 * time.Second)
		for range 120 {
			advance(time.Second)
			is.True(f.allAgree())
		}
	})
}

// The traffic of a VM must not grow with the fleet; if it does, it exceeds 4 KB/s per VM at 400 VMs.
func TestTrafficOf400VMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, seconds = 400, 10
		f := newFleet(t, n, 0)
		advance(2 * time.Minute)
		is.True(f.allAgree())
		before := map[string]vm.Traffic{}
		for id := range f.nodes {
			before[id] = f.network.Traffic(chestnutcleat.Address("a" + id))
		}
		advance(seconds * time.Second)
		messages, bytes, worst := 0, 0, 0
		for id := range f.nodes {
			now := f.network.Traffic(chestnutcleat.Address("a" + id))
			messages += now.Messages - before[id].Messages
			bytes += now.Bytes - before[id].Bytes
			worst = max(worst, now.Bytes-before[id].Bytes)
		}
		t.Logf("%d VMs at rest: %.1f messages and %d bytes per VM per second, %d bytes at the busiest VM", n, float64(messages)/n/seconds, bytes/n/seconds, worst/seconds)
		is.True(worst/seconds < 4096)
		f.kill("200")
		advance(5 * time.Second)
		is.Equal(f.listedBy("200"), 0)
	})
}
