package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/lease"
	"chestnutcleat.example/chestnutcleat/limit"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/member"
	"chestnutcleat.example/chestnutcleat/object"
	"chestnutcleat.example/chestnutcleat/program"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Node holds the control state of one VM and serves the queries of its traffic goroutines.
type Node struct {
	Self     chestnutcleat.VM
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	Observer chestnutcleat.Observer
	// Seeds are addresses of other VMs.
	Seeds []chestnutcleat.Address
	// DataFolder is the data folder, on a VM with a disk.
	DataFolder string
	// Transport carries control requests to engines.
	Transport http.RoundTripper
	Rand      *rand.Rand
	// Policy selects the dispatch policy; the zero value is the default policy.
	Policy dispatch.Policy

	// Loop and Mux are set by Init.
	Loop *control.Loop
	Mux  *vm.Mux

	members   *member.List
	keeper    *lease.Keeper
	programs  *program.Manager
	suspects  *program.Suspects
	limits    *limit.Limiter
	upstreams *upstreamState
	manifests *manifest.Store

	ownerClient      ownerClient
	endpoints        endpoints
	seeds            seeds
	loads            loadTable
	temporaryOwners  temporaryOwners
	publisher        publisher
	picker           picker
	revocations      revocations
	version          uint64
	leaveOnce        sync.Once
	drain            drainSignal
	manifestInEffect manifestSignal
}

// Init builds the control state. The exported fields, except Loop and Mux, must be set before.
func (n *Node) Init() {
	n.Self.Start = n.Self.ProcessIncarnation()
	n.Loop = control.New()
	n.Mux = vm.NewMux()
	n.version = uint64(n.Self.Incarnation) << versionBits
	n.picker.init(n.Policy, rand.New(rand.NewPCG(n.Rand.Uint64(), n.Rand.Uint64())))
	n.revocations.init()
	n.manifestInEffect.reached = make(chan struct{})
	n.buildMembership()
	n.buildManifests()
	n.buildSlotStates()
	n.buildLeases()
	n.ownerClient = ownerClient{self: n.Self.ID, loop: n.Loop, ownership: n.keeper, peers: n.Peers, locate: n.locateSlot}
	n.buildEndpoints()
	n.buildDrain()
}

// Run runs the control state until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	// Everything is started before the first result of the watch is handled: a fleet object that arrived earlier would
	// find the keeper's maps uninitialized.
	n.Loop.Post(func() {
		n.manifests.Start(func() {})
		n.members.Start()
		n.keeper.Start()
		n.programs.Run()
		n.suspects.Start()
		n.upstreams.Start()
		n.publishState()
	})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Loop.Run(ctx) })
	g.Go(func() error { return n.watchPlatform(ctx) })
	g.Go(func() error { return n.seeds.run(ctx, n.Platform, n.Seeds) })
	return g.Wait()
}

// fleetObject is the name of the platform object that holds the slot table.
const fleetObject chestnutcleat.ObjectName = "fleet"

// watchPlatform runs the only platform watch of this VM.
func (n *Node) watchPlatform(ctx context.Context) error {
	w := object.Watcher{
		Platform: n.Platform,
		Prefixes: append([]chestnutcleat.ObjectName{fleetObject}, manifest.WatchPrefixes...),
		Rand:     rand.New(rand.NewPCG(uint64(n.Self.Incarnation), 1)),
		OnError:  func(err error) { n.Observer.Emit(event.PlatformWatch, "error", err) },
		OnChange: func(o chestnutcleat.Object) {
			n.Loop.Post(func() {
				if o.Name == fleetObject {
					n.keeper.AdoptFleet(o)
					return
				}
				n.manifests.HandleObject(o)
			})
		},
	}
	return w.Run(ctx)
}

// Leave hands over the slots and leaves the fleet. It returns when the slots have moved or ctx is done.
func (n *Node) Leave(ctx context.Context) error {
	done := make(chan struct{})
	n.leaveOnce.Do(func() {
		n.Loop.Post(func() {
			n.members.Leave()
			n.keeper.Leave(func() { close(done) })
		})
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runOnLoop runs f in the control goroutine and waits until it returns, or fails after attemptTimeout.
func (n *Node) runOnLoop(f func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	return n.Loop.Do(ctx, f)
}

// locateSlot returns the owner of a slot, or the zero OwnerLocation if the control goroutine does not respond in time.
func (n *Node) locateSlot(s chestnutcleat.Slot) chestnutcleat.OwnerLocation {
	var p chestnutcleat.OwnerLocation
	if err := n.runOnLoop(func() { p = n.keeper.Owner(s) }); err != nil {
		return chestnutcleat.OwnerLocation{}
	}
	return p
}
