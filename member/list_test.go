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
	// Requests of stopped VMs end within their timeouts.
	t.Cleanup(func() { time.Sleep(5 * time.Second) })
	f.list("a000", "a001", "a002")
	for i := range n {
		f.add(name(i), 1)
	}
	return f
}

// list replaces the seeds of all VMs.
func (f *fleet) list(seeds ...chestnutcleat.Address) { f.seeds.Store(&seeds) }

func name(i int) string { return fmt.Sprintf("%03d", i) }

// add starts a VM.
func (f *fleet) add(id string, incarnation chestnutcleat.Incarnation) *node {
	return f.addAt(id, chestnutcleat.Address("a"+id), incarnation)
}

// addAt starts a VM at an address.
func (f *fleet) addAt(id string, address chestnutcleat.Address, incarnation chestnutcleat.Incarnation) *node {
	ctx, cancel := context.WithCancel(f.t.Context())
	r := rand.New(rand.NewPCG(seed, uint64(len(f.nodes))))
	l := &member.List{Self: chestnutcleat.VM{ID: chestnutcleat.VMID(id), Incarnation: incarnation, Address: address, Caller: "10.0.0.1:8080", Domain: "petrolina"}, Rand: r}
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
	n.do(l.Run)
	return n
}

// do runs a step in the control goroutine, unless the VM is dead.
func (n *node) do(step func()) {
	n.loop.Do(n.ctx, step)
}

// kill stops a VM without notice.
func (f *fleet) kill(id string) {
	f.nodes[id].stop()
	delete(f.nodes, id)
}

// separate cuts or joins one VM and all others in both directions.
func (f *fleet) separate(id string, cut bool) {
	for other := range f.nodes {
		a, b := chestnutcleat.Address("a"+id), chestnutcleat.Address("a"+other)
		if cut {
			f.network.Cut(a, b)
			f.network.Cut(b, a)
		} else {
			f.network.Join(a, b)
			f.network.Join(b, a)
		}
	}
}

// seen counts how many of the VMs list the VM.
func (f *fleet) seen(id string) int {
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

// agree reports whether all VMs list all.
func (f *fleet) agree() bool {
	for _, n := range f.nodes {
		if len(n.list.Snapshot()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// holds counts the VMs that have an item in a version.
func (f *fleet) holds(name string, version uint64) int {
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

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Each case guards against a VM that is wrongly kept, lost or brought back.
func TestMembership(t *testing.T) {
	cases := []struct {
		name string
		run  func(is *is.I, f *fleet)
	}{
		{"a killed VM is gone everywhere within 3.5 s", func(is *is.I, f *fleet) {
			f.kill("003")
			pass(3500 * time.Millisecond)
			is.Equal(f.seen("003"), 0)
		}},
		{"three killed VMs", func(is *is.I, f *fleet) {
			for _, id := range []string{"001", "003", "004"} {
				f.kill(id)
			}
			pass(6 * time.Second)
			is.True(f.agree())
		}},
		{"a cut in one direction between two VMs", func(is *is.I, f *fleet) {
			f.network.Cut("a002", "a005")
			for range 60 {
				pass(time.Second)
				is.True(f.agree())
			}
		}},
		{"a slow VM refutes", func(is *is.I, f *fleet) {
			n := f.nodes["002"]
			n.loop.Post(func() { time.Sleep(1200 * time.Millisecond) })
			for range 10 {
				pass(time.Second)
				is.Equal(f.seen("002"), 7)
			}
		}},
		{"a paused VM is not fooled by its own timers", func(is *is.I, f *fleet) {
			n := f.nodes["002"]
			n.loop.Post(func() { time.Sleep(20 * time.Second) })
			for range 30 {
				pass(time.Second)
				is.Equal(len(n.list.Snapshot()), 7)
			}
			is.True(f.agree())
			is.True(n.list.Snapshot()[2].Incarnation > 1)
		}},
		{"a list with dead and missing VMs", func(is *is.I, f *fleet) {
			f.kill("001")
			f.kill("002")
			f.list("a001", "a002", "a999", "a004")
			f.add("010", 1)
			pass(5 * time.Second)
			is.True(f.agree())
			is.Equal(f.seen("001"), 0)
		}},
		{"an old list does not bring a VM back", func(is *is.I, f *fleet) {
			f.kill("001")
			pass(time.Minute)
			f.add("010", 1)
			for range 20 {
				pass(time.Second)
				is.Equal(f.seen("001"), 0)
			}
		}},
		{"another VM takes over the address", func(is *is.I, f *fleet) {
			f.kill("003")
			f.addAt("010", "a003", 1)
			pass(5 * time.Second)
			is.True(f.agree())
			is.Equal(f.seen("003"), 0)
		}},
		{"two halves that are cut for one hour", func(is *is.I, f *fleet) {
			for _, id := range []string{"000", "001", "002"} {
				for _, other := range []string{"003", "004", "005", "006"} {
					a, b := chestnutcleat.Address("a"+id), chestnutcleat.Address("a"+other)
					f.network.Cut(a, b)
					f.network.Cut(b, a)
					time.AfterFunc(time.Hour, func() {
						f.network.Join(a, b)
						f.network.Join(b, a)
					})
				}
			}
			pass(time.Hour)
			is.Equal(f.seen("000"), 3)
			is.Equal(f.seen("006"), 4)
			pass(8 * time.Second)
			is.True(f.agree())
		}},
		{"a VM restarts with a higher incarnation", func(is *is.I, f *fleet) {
			f.kill("003")
			pass(5 * time.Second)
			f.add("003", 2)
			pass(3 * time.Second)
			is.True(f.agree())
		}},
		{"a VM restarts before it was declared gone", func(is *is.I, f *fleet) {
			f.kill("003")
			pass(500 * time.Millisecond)
			f.add("003", 2)
			pass(3 * time.Second)
			is.True(f.agree())
			is.Equal(f.nodes["000"].list.Snapshot()[3].Incarnation, chestnutcleat.Incarnation(2))
		}},
		{"an empty list of seeds at the others", func(is *is.I, f *fleet) {
			f.separate("006", true)
			pass(time.Minute)
			is.Equal(f.seen("006"), 1)
			f.list()
			f.separate("006", false)
			pass(10 * time.Second)
			is.True(f.agree())
		}},
		{"a leaving VM stays listed and is not live", func(is *is.I, f *fleet) {
			n := f.nodes["004"]
			n.do(n.list.Leave)
			pass(3 * time.Second)
			is.True(f.agree())
			for _, o := range f.nodes {
				o.do(func() { is.Equal(len(o.list.Live()), 6) })
			}
			f.kill("004")
			pass(4 * time.Second)
			is.Equal(f.seen("004"), 0)
		}},
		{"items converge within 5 s and never go back", func(is *is.I, f *fleet) {
			n, o := f.nodes["000"], f.nodes["005"]
			n.do(func() { n.list.Put("manifest", 2, make([]byte, 5000)) })
			o.do(func() { o.list.Put("manifest", 1, nil) })
			for i := range 50 {
				n.do(func() { n.list.Put(fmt.Sprintf("key/%d", i), 1, make([]byte, 40)) })
			}
			pass(5 * time.Second)
			is.Equal(f.holds("manifest", 2), 7)
			for i := range 50 {
				is.Equal(f.holds(fmt.Sprintf("key/%d", i), 1), 7)
			}
		}},
		{"an expired item is forgotten everywhere", func(is *is.I, f *fleet) {
			n := f.nodes["000"]
			n.do(func() { n.list.PutUntil("load", 1, nil, time.Now().Add(10*time.Second)) })
			pass(5 * time.Second)
			is.Equal(f.holds("load", 1), 7)
			pass(10 * time.Second)
			is.Equal(f.holds("load", 1), 0)
		}},
		{"items after a cut of one hour", func(is *is.I, f *fleet) {
			n, away := f.nodes["000"], f.nodes["006"]
			f.separate("006", true)
			pass(time.Hour / 2)
			n.do(func() { n.list.Put("manifest", 9, []byte("m")) })
			away.do(func() { away.list.Put("key", 3, nil) })
			pass(time.Hour / 2)
			is.Equal(f.holds("manifest", 9), 6)
			f.separate("006", false)
			pass(5 * time.Second)
			is.Equal(f.holds("manifest", 9), 7)
			is.Equal(f.holds("key", 3), 7)
			is.True(f.agree())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 7, 0)
				pass(5 * time.Second)
				is.True(f.agree())
				c.run(is, f)
			})
		})
	}
}

// A VM that is live must not be declared gone because some messages are lost.
func TestLossOfMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7, 0.05)
		pass(10 * time.Second)
		for range 120 {
			pass(time.Second)
			is.True(f.agree())
		}
	})
}

// Traffic that grows with the fleet would exceed 4 KB/s per VM at 400 VMs.
func TestTrafficOf400VMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, seconds = 400, 10
		f := newFleet(t, n, 0)
		pass(2 * time.Minute)
		is.True(f.agree())
		before := map[string]vm.Traffic{}
		for id := range f.nodes {
			before[id] = f.network.Traffic(chestnutcleat.Address("a" + id))
		}
		pass(seconds * time.Second)
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
		pass(5 * time.Second)
		is.Equal(f.seen("200"), 0)
	})
}
