package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/node"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
	"chestnutcleat.example/chestnutcleat/vm"
)

var domains = []chestnutcleat.FailureDomain{"petrolina", "juazeiro", "casa-nova"}

// fleet is a set of nodes in one test process, connected by an in-memory network.
type fleet struct {
	t             *testing.T
	network       *vm.Network
	store         *standin.Store
	nodes         []*node.Node
	platformLinks []*platformLink
	cancels       []context.CancelFunc
	rand          *rand.Rand
	// transport carries control requests to engines; nil for none.
	transport http.RoundTripper
	mu        sync.Mutex
}

// node returns node i. It is safe for concurrent use with restarts of nodes.
func (f *fleet) node(i int) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.nodes)
}

// discardObserver discards the events of one node.
type discardObserver struct {
	id chestnutcleat.VMID
}

func (discardObserver) Emit(chestnutcleat.EventID, ...any) {}

func address(i int) chestnutcleat.Address {
	return chestnutcleat.Address(fmt.Sprintf("10.0.%d.%d:8002", i/250, i%250+1))
}

// newFleet starts n nodes and applies a manifest.
func newFleet(t *testing.T, n int, seed uint64) *fleet {
	return newFleetWithTransport(t, n, seed, 0, nil)
}

// newFleetWithPause is like newFleet, with a pause after the start of each node.
func newFleetWithPause(t *testing.T, n int, seed uint64, pause time.Duration) *fleet {
	return newFleetWithTransport(t, n, seed, pause, nil)
}

// newFleetWithTransport is like newFleet, with a pause after the start of each node and a transport for control requests to engines.
func newFleetWithTransport(t *testing.T, n int, seed uint64, pause time.Duration, transport http.RoundTripper) *fleet {
	f := &fleet{t: t, transport: transport, network: vm.NewNetwork(seed), store: standin.NewStore(seed), rand: rand.New(rand.NewPCG(seed, 7))}
	f.network.Delay = 500 * time.Microsecond
	for i := range n {
		f.start(i, 1)
		if i == 0 {
			time.Sleep(2 * time.Second)
		}
		time.Sleep(pause)
	}
	time.Sleep(10 * time.Second)
	f.apply(0, testManifest())
	time.Sleep(5 * time.Second)
	return f
}

// start starts or restarts node i.
func (f *fleet) start(i int, incarnation chestnutcleat.Incarnation) {
	id := chestnutcleat.VMID(fmt.Sprintf("vm%d", i+1))
	link := &platformLink{Platform: &standin.Client{Store: f.store, Name: string(id)}}
	n := &node.Node{
		Self: chestnutcleat.VM{
			ID: id, Incarnation: 1000 * incarnation, State: chestnutcleat.VMLive,
			Address: address(i), CallerAddress: chestnutcleat.Address(fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1)),
			Domain: domains[i%len(domains)], Region: "nordeste",
		},
		Peers:     f.network.From(address(i)),
		Platform:  link,
		Observer:  discardObserver{id},
		Transport: f.transport,
		Seeds:     []chestnutcleat.Address{address(0), address(1)},
		Rand:      rand.New(rand.NewPCG(uint64(i), f.randomUint64())),
	}
	f.store.SetVM(chestnutcleat.ListedVM{ID: id, Address: address(i)})
	n.Init()
	ctx, cancel := context.WithCancel(f.t.Context())
	f.network.Attach(address(i), n.Mux)
	go n.Run(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.nodes) {
		f.nodes[i], f.platformLinks[i], f.cancels[i] = n, link, cancel
		return
	}
	f.platformLinks = append(f.platformLinks, link)
	f.nodes = append(f.nodes, n)
	f.cancels = append(f.cancels, cancel)
}

// kill stops node i as if its process had crashed.
func (f *fleet) kill(i int) {
	f.network.Detach(address(i))
	f.cancels[i]()
}

func (f *fleet) stop() {
	for _, c := range f.cancels {
		c()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

func (f *fleet) apply(i int, m chestnutcleat.Manifest) {
	raw, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	if _, err := f.nodes[i].OperatorHandler(nil).Apply(ctx, manifest.Change{Raw: raw, Base: m.Revision, Who: "test"}); err != nil {
		f.t.Fatalf("apply: %v", err)
	}
}

// testManifest returns a manifest with one customer, two engines and a service whose calls are not repeatable.
func testManifest() chestnutcleat.Manifest {
	return chestnutcleat.Manifest{
		Customers: []chestnutcleat.Customer{{ID: "grower", Keys: []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte("key"))}, Rate: 20, Burst: 40}},
		Upstreams: []chestnutcleat.Upstream{
			{ID: "e1", Kind: chestnutcleat.UpstreamEngine, Address: "10.1.0.1:80", Domain: "petrolina", Models: []chestnutcleat.ModelName{"small"}, Slots: 4},
			{ID: "e2", Kind: chestnutcleat.UpstreamEngine, Address: "10.1.0.2:80", Domain: "juazeiro", Models: []chestnutcleat.ModelName{"small"}, Slots: 4},
			{ID: "s1", Kind: chestnutcleat.UpstreamService, Address: "10.1.0.3:80", Domain: "juazeiro", Slots: 4},
		},
		Routes: []chestnutcleat.Route{
			{Name: "chat", Kind: chestnutcleat.UpstreamEngine, Model: "small", Upstreams: []chestnutcleat.UpstreamID{"e1", "e2"}, Repeatable: true},
			{Name: "book", Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"s1"}},
		},
	}
}

// randomUint64 returns a random number. It is safe for concurrent use.
func (f *fleet) randomUint64() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Uint64()
}

// parallel runs a test in parallel with others, except under the race detector.
func parallel(t *testing.T) {
	if !raceDetector {
		t.Parallel()
	}
}
