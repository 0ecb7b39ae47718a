package manifest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/object"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
	"chestnutcleat.example/chestnutcleat/vm"
)

const manifestTemplate = `{
  "customers": [{"id": "a", "rate": RATE, "burst": 10, "keys": ["KEY"]}, {"id": "b", "rate": 1, "burst": 1}],
  "upstreams": [{"id": "e1", "kind": "engine", "address": "10.0.0.1:80", "domain": "d1", "models": ["m"], "slots": 6}],
  "routes": [{"name": "chat", "kind": "engine", "model": "m", "upstreams": ["e1"], "repeatable": true}],
}`

var keyA = chestnutcleat.DigestOf([]byte("key of a"))

// manifestText returns a valid manifest with a given rate for customer a.
func manifestText(rate int) []byte {
	s := strings.ReplaceAll(manifestTemplate, "RATE", fmt.Sprint(rate))
	return []byte(strings.ReplaceAll(s, "KEY", keyA.String()))
}

// largeManifestText returns a valid manifest with many customers.
func largeManifestText(customers int) []byte {
	var b strings.Builder
	for i := range customers {
		d := chestnutcleat.DigestOf([]byte(fmt.Sprint(i)))
		fmt.Fprintf(&b, `{"id": "c%d", "rate": 1, "burst": 1, "keys": ["%s"]},`, i, d)
	}
	return []byte(strings.Replace(string(manifestText(1)), `"customers": [`, `"customers": [`+b.String(), 1))
}

type nopObserver struct{}

func (nopObserver) Emit(chestnutcleat.EventID, ...any) {}

// node is one VM of a test fleet.
type node struct {
	store       *manifest.Store
	loop        *control.Loop
	address     chestnutcleat.Address
	deactivated []chestnutcleat.Digest
	stop        context.CancelFunc
}

// fleet is a set of VMs with an in-memory network and platform, in virtual time.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	network  *vm.Network
	platform *standin.Store
	nodes    []*node
	members  []chestnutcleat.VM
	rand     *rand.Rand
}

// newFleet starts n VMs on a network that drops a fraction of the messages.
func newFleet(t *testing.T, n int, loss float64) *fleet {
	const seed = 7
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		// Wait until calls in progress have timed out.
		time.Sleep(2 * time.Minute)
	})
	f := &fleet{t: t, ctx: ctx, network: vm.NewNetwork(seed), platform: standin.NewStore(seed), rand: rand.New(rand.NewPCG(seed, seed))}
	f.network.Delay = time.Millisecond
	f.network.SetLoss(loss)
	for i := range n {
		id := fmt.Sprintf("v%d", i)
		f.members = append(f.members, chestnutcleat.VM{ID: chestnutcleat.VMID(id), State: chestnutcleat.VMLive, Address: chestnutcleat.Address(id)})
	}
	for i := range n {
		f.nodes = append(f.nodes, f.start(i, ""))
	}
	return f
}

// start runs a VM as a new process, which keeps only the content of folder.
func (f *fleet) start(i int, folder string) *node {
	m := f.members[i]
	ctx, cancel := context.WithCancel(f.ctx)
	n := &node{loop: control.New(), address: m.Address, stop: cancel}
	random := rand.New(rand.NewPCG(f.rand.Uint64(), uint64(i)))
	client := &standin.Client{Store: f.platform, Name: string(m.ID)}
	n.store = &manifest.Store{
		Loop: n.loop, Peers: f.network.From(m.Address), Platform: client, Observer: nopObserver{},
		Members: func() []chestnutcleat.VM { return f.members },
		VM:      m.ID, Address: m.Address, Folder: folder, Rand: random,
		OnKeysDeactivated: func(list []chestnutcleat.Digest) { n.deactivated = append(n.deactivated, list...) },
	}
	mux := vm.NewMux()
	vm.Handle(mux, chestnutcleat.MethodFetch, func(ctx context.Context, q manifest.FetchRequest) (r manifest.FetchReply, err error) {
		return r, n.loop.Do(ctx, func() { r = n.store.Fetch(q) })
	})
	vm.Handle(mux, chestnutcleat.MethodOffer, func(ctx context.Context, q manifest.OfferRequest) (a chestnutcleat.Ack, err error) {
		return a, n.loop.Do(ctx, func() { n.store.HandleOffer(q.Summary, q.From) })
	})
	f.network.Attach(m.Address, mux)
	go n.loop.Run(ctx)
	started := make(chan struct{})
	n.loop.Post(func() { n.store.Start(func() { close(started) }) })
	<-started
	w := &object.Watcher{
		Platform: client, Prefixes: manifest.WatchPrefixes, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		OnChange: func(o chestnutcleat.Object) { n.loop.Post(func() { n.store.HandleObject(o) }) },
	}
	go w.Run(ctx)
	n.loop.After(time.Second, func() { f.gossip(n, random) })
	return n
}

// gossip offers a VM's summary to a random other VM every second, as the membership protocol does.
func (f *fleet) gossip(n *node, random *rand.Rand) {
	to := f.members[random.IntN(len(f.members))].Address
	if to != n.address {
		q := manifest.OfferRequest{From: n.address, Summary: n.store.Summary()}
		work := func(ctx context.Context) (a chestnutcleat.Ack, err error) {
			return a, f.network.From(n.address).Call(ctx, to, chestnutcleat.MethodOffer, q, &a)
		}
		chestnutcleat.Async(n.loop, time.Second, work, func(chestnutcleat.Ack, error) {})
	}
	n.loop.After(time.Second, func() { f.gossip(n, random) })
}

// kill stops a VM's process.
func (f *fleet) kill(i int) {
	f.nodes[i].stop()
	f.network.Detach(f.members[i].Address)
}

// isolate partitions a VM from all others, or heals the partition.
func (f *fleet) isolate(i int, cut bool) {
	setLink := f.network.Unblock
	if cut {
		setLink = f.network.Block
	}
	for j, m := range f.members {
		if j != i {
			setLink(f.members[i].Address, m.Address)
			setLink(m.Address, f.members[i].Address)
		}
	}
}

// result is the outcome of a change.
type result struct {
	accepted manifest.Accepted
	err      error
}

func (f *fleet) applyAsync(i int, c manifest.Change) chan result {
	done := make(chan result, 1)
	n := f.nodes[i]
	n.loop.Post(func() {
		n.store.Apply(c, func(a manifest.Accepted, err error) { done <- result{a, err} })
	})
	return done
}

func (f *fleet) apply(i, rate int, base chestnutcleat.Revision) result {
	return <-f.applyAsync(i, manifest.Change{Raw: manifestText(rate), Base: base, Who: "op"})
}

func (f *fleet) mustApply(i, rate int, base chestnutcleat.Revision) {
	f.t.Helper()
	if r := f.apply(i, rate, base); r.err != nil {
		f.t.Fatal(r.err)
	}
}

func (f *fleet) withdraw(i int, d chestnutcleat.Digest) {
	n := f.nodes[i]
	if err := n.loop.Do(f.ctx, func() { n.store.Withdraw(d, "op") }); err != nil {
		f.t.Fatal(err)
	}
}

// ready reports whether a VM is ready.
func (f *fleet) ready(i int) (r bool) {
	n := f.nodes[i]
	if err := n.loop.Do(f.ctx, func() { r = n.store.Ready() }); err != nil {
		f.t.Fatal(err)
	}
	return r
}

// expect checks the revision and the rate of customer a on every VM.
func (f *fleet) expect(revision chestnutcleat.Revision, rate float64) {
	f.t.Helper()
	synctest.Wait()
	for _, n := range f.nodes {
		v := n.store.Current()
		if v.Revision() != revision || v.Customer("a").Rate != rate {
			f.t.Errorf("VM %s has revision %d, want %d", n.address, v.Revision(), revision)
		}
	}
}

// expectKey checks the state of a key on every VM.
func (f *fleet) expectKey(d chestnutcleat.Digest, s chestnutcleat.KeyState) {
	f.t.Helper()
	synctest.Wait()
	for _, n := range f.nodes {
		if _, have := n.store.Current().LookupKey(d); have != s {
			f.t.Errorf("VM %s has the key in state %s, want %s", n.address, have, s)
		}
	}
}
