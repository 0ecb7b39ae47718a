package node

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/lease"
	"chestnutcleat.example/chestnutcleat/limit"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/member"
	"chestnutcleat.example/chestnutcleat/program"
	"chestnutcleat.example/chestnutcleat/vm"
)

func (n *Node) buildMembership() {
	n.members = &member.List{
		Self:     n.Self,
		Loop:     n.Loop,
		Peers:    n.Peers,
		Seeds:    n.seeds.list,
		Rand:     n.Rand,
		Observer: n.Observer,
		OnItem:   n.onItem,
		OnRejoin: func(v chestnutcleat.VM) { n.Self = v },
	}
	n.members.Register(n.Mux, n.runOnLoop)
}

func (n *Node) buildManifests() {
	n.manifests = &manifest.Store{
		Loop:              n.Loop,
		Peers:             n.Peers,
		Platform:          n.Platform,
		Observer:          n.Observer,
		Members:           n.members.Members,
		VM:                n.Self.ID,
		Address:           n.Self.Address,
		Folder:            n.DataFolder,
		Rand:              n.Rand,
		OnKeysDeactivated: n.revocations.notify,
		OnChange:          n.onManifestChange,
	}
	vm.Handle(n.Mux, chestnutcleat.MethodFetch, func(_ context.Context, r manifest.FetchRequest) (a manifest.FetchReply, err error) {
		err = n.runOnLoop(func() { a = n.manifests.Fetch(r) })
		return a, err
	})
	vm.Handle(n.Mux, chestnutcleat.MethodOffer, func(_ context.Context, r manifest.OfferRequest) (chestnutcleat.Ack, error) {
		return chestnutcleat.Ack{}, n.runOnLoop(func() { n.manifests.HandleOffer(r.Summary, r.From) })
	})
}

func (n *Node) buildSlotStates() {
	n.limits = &limit.Limiter{Loop: n.Loop, Customer: n.Customer, Observer: n.Observer, VM: n.Self.ID}
	n.suspects = &program.Suspects{Loop: n.Loop, Observer: n.Observer}
	n.programs = &program.Manager{
		Loop:      n.Loop,
		Limits:    n.Limits,
		Observer:  n.Observer,
		Suspect:   n.checkCrashes,
		CheckCall: n.refuseAsTemporaryOwner,
		Timeout:   n.callTimeout,
	}
	n.upstreams = &upstreamState{Scheduler: &dispatch.Scheduler{
		Loop:          n.Loop,
		Upstream:      n.Upstream,
		Epoch:         func() chestnutcleat.Epoch { return n.keeper.Epoch() },
		Owns:          func(id chestnutcleat.UpstreamID) bool { return n.keeper.Check(chestnutcleat.UpstreamKey(id)) == nil },
		Engine:        n.engineClient,
		Observer:      n.Observer,
		Policy:        n.Policy,
		Rand:          n.Rand,
		AdmitLoad:     n.admitLoad,
		LeaseDuration: leaseDuration,
		OrderDelay:    maxOrderDelay,
	}}
}

// maxOrderDelay is the longest time that an order may take to reach an engine.
const maxOrderDelay = 5 * time.Second

func (n *Node) buildLeases() {
	n.keeper = &lease.Keeper{
		Self:     n.Self,
		Loop:     n.Loop,
		Peers:    n.Peers,
		Platform: n.Platform,
		Members:  n.members.Members,
		States: map[chestnutcleat.Kind]chestnutcleat.SlotState{
			chestnutcleat.KindProgram:  statePair{n.programs, n.suspects},
			chestnutcleat.KindCustomer: n.limits,
			chestnutcleat.KindUpstream: n.upstreams,
		},
		Observer:       n.Observer,
		Rand:           n.Rand,
		TemporaryOwner: n.temporaryOwners.find,
	}
	n.keeper.Register(n.Mux, n.Loop.Post)
	n.limits.Journal = n.keeper
	n.suspects.Journal = n.keeper
	n.programs.Journal = n.keeper
}

// callTimeout returns the maximum run time of a call of a route.
func (n *Node) callTimeout(name chestnutcleat.RouteName) time.Duration {
	r, ok := n.Route(name)
	if !ok {
		return chestnutcleat.DefaultCallTimeout
	}
	return r.Timeout.OrDefault(chestnutcleat.DefaultCallTimeout)
}

// engineClient returns the control client of an engine, or nil for a service.
func (n *Node) engineClient(id chestnutcleat.UpstreamID) chestnutcleat.Engine {
	u, ok := n.Upstream(id)
	if !ok || u.Kind != chestnutcleat.UpstreamEngine || n.Transport == nil {
		return nil
	}
	return &engine.Client{Address: u.Address, Transport: n.Transport}
}

// checkCrashes asks the owner of a fingerprint about crashes, or reports one.
func (n *Node) checkCrashes(r chestnutcleat.CrashCheckRequest, done func(chestnutcleat.CrashCheckReply, error)) {
	work := func(ctx context.Context) (chestnutcleat.CrashCheckReply, error) {
		return callOwner(ctx, &n.ownerClient, &n.endpoints.crashCheck, r)
	}
	chestnutcleat.Async(n.Loop, crashCheckTimeout, work, done)
}

// crashCheckTimeout exceeds the longest takeover of a slot.
const crashCheckTimeout = 6 * time.Second

// leaseDuration is the time for which a previous owner may still act.
const leaseDuration = 2 * time.Second
