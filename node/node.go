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

// Node is the control state of one VM and what its traffic goroutines ask of it.
type Node struct {
	Self     chestnutcleat.VM
	Peers    chestnutcleat.Peers
	Platform chestnutcleat.Platform
	Observer chestnutcleat.Observer
	// Seeds are addresses of other VMs.
	Seeds []chestnutcleat.Address
	// Folder is the data folder of a VM with a disk.
	Folder string
	// Transport carries control requests to engines.
	Transport http.RoundTripper
	Rand      *rand.Rand
	// Policy selects the dispatch policy; the zero value is the product's own.
	Policy dispatch.Policy

	// Loop and Mux are made by Init.
	Loop *control.Loop
	Mux  *vm.Mux

	members   *member.List
	keeper    *lease.Keeper
	programs  *program.Book
	suspects  *program.Suspects
	limits    *limit.Book
	upstreams *upstreams
	manifests *manifest.Store

	asker     asker
	endpoints endpoints
	seeds     seeds
	loads     loads
	holders   holders
	publisher publisher
	picker    picker
	revoked   revocations
	version   uint64
	leaveOnce sync.Once
	drain     drain
	effective effective
}

// Init builds the control state; the exported fields are set before.
func (n *Node) Init() {
	n.Self.Start = n.Self.Process()
	n.Loop = control.New()
	n.Mux = vm.NewMux()
	n.version = uint64(n.Self.Incarnation) << versionBits
	n.picker.init(n.Policy, rand.New(rand.NewPCG(n.Rand.Uint64(), n.Rand.Uint64())))
	n.revoked.init()
	n.effective.reached = make(chan struct{})
	n.buildMembers()
	n.buildManifests()
	n.buildStates()
	n.buildKeeper()
	n.asker = asker{self: n.Self.ID, loop: n.Loop, owner: n.keeper, peers: n.Peers, place: n.place}
	n.buildEndpoints()
	n.buildDrain()
}

// Run runs the control state until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	// The parts start before anything that the watch brings: a fleet object that came first met a keeper without maps.
	n.Loop.Post(func() {
		n.manifests.Start(func() {})
		n.members.Run()
		n.keeper.Start()
		n.programs.Run()
		n.suspects.Run()
		n.upstreams.Run()
		n.gossip()
	})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Loop.Run(ctx) })
	g.Go(func() error { return n.watch(ctx) })
	g.Go(func() error { return n.seeds.run(ctx, n.Platform, n.Seeds) })
	return g.Wait()
}

// fleetName is the platform object of the slot table.
const fleetName chestnutcleat.ObjectName = "fleet"

// watch keeps the one platform watch of this VM.
func (n *Node) watch(ctx context.Context) error {
	w := object.Watcher{
		Platform: n.Platform,
		Prefixes: append([]chestnutcleat.ObjectName{fleetName}, manifest.Prefixes...),
		Rand:     rand.New(rand.NewPCG(uint64(n.Self.Incarnation), 1)),
		Failed:   func(err error) { n.Observer.Emit(event.PlatformWatch, "error", err) },
		Changed: func(o chestnutcleat.Object) {
			n.Loop.Post(func() {
				if o.Name == fleetName {
					n.keeper.Refresh(o)
					return
				}
				n.manifests.Refresh(o)
			})
		},
	}
	return w.Run(ctx)
}

// Leave hands over the slots and leaves the membership; it returns when the slots have moved or ctx is done.
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

// do runs f in the control goroutine and waits for its end, unless the goroutine does not get to it in time.
func (n *Node) do(f func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	return n.Loop.Do(ctx, f)
}

// place returns the owner of a slot.
func (n *Node) place(s chestnutcleat.Slot) chestnutcleat.Place {
	var p chestnutcleat.Place
	if err := n.do(func() { p = n.keeper.Place(s) }); err != nil {
		return chestnutcleat.Place{}
	}
	return p
}
