package role

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/checkpoint"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// headerTimeout bounds the reading of a caller's header; configurations allow 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any idle time that callers rely on.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a caller's header; configurations allow 16 KiB.
	maxHeaderBytes = 64 << 10
	// maxAddressTTLSeconds is how long callers may cache a list of addresses. A VM that shuts down listens for staleListFactor times as
	// long, which leaves most of a grace period of 8 s to the last requests.
	maxAddressTTLSeconds = 0.85
	// fleetCheckInterval is the time between updates from the other VMs' reports.
	fleetCheckInterval = 200 * time.Millisecond
	// bodyMemoryDivisor divides the process's memory to get the budget for bodies.
	bodyMemoryDivisor = 4
)

// Entry runs an entry VM.
type Entry struct {
	base
	// Stop starts the graceful shutdown.
	Stop <-chan struct{}

	config    atomic.Pointer[config.Table]
	placement *place.Table
	limiter   *rate.Limiter
	ledger    *ledger.Client
	// checkpoint reports the use of customers' rates to storage VMs.
	checkpoint *checkpoint.Client
	handler    *entry.Handler
	blocks     *blockCopier
	backup     *blockBackup
	// share tells whether this VM may use its share of rates. Only trackFleet uses it, so it needs no lock.
	share shareClaim
	// following tells whether the list of instances has been followed without a gap.
	following instanceFollower
	// servers are the HTTP servers for callers, readiness and the registry.
	servers []*accept.Server
	// reportedConfig is the last version of the configuration that was reported as invalid.
	reportedConfig chestnutcleat.Version
}

// Run serves until ctx is done or the graceful shutdown is complete.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.init("")
	e.build(ctx)
	if err := e.base.listen(ctx); err != nil {
		return err
	}
	if err := e.listen(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	e.start(ctx, g)
	g.Go(func() error { return e.ledger.Run(ctx) })
	g.Go(func() error { return e.checkpoint.Run(ctx) })
	g.Go(func() error { return e.backup.run(ctx) })
	g.Go(func() error { return e.poll(ctx) })
	g.Go(func() error { return e.repeat(ctx, fleetCheckInterval, "reports of other VMs", e.trackFleet) })
	g.Go(func() error {
		return e.repeat(ctx, memberExpiryInterval, "silent VMs", func() { e.removeSilentVMs(ctx) })
	})
	for _, s := range e.servers {
		g.Go(s.Serve)
	}
	g.Go(func() error {
		defer cancel()
		e.shutdown(ctx)
		return nil
	})
	s := &e.Settings
	e.Observer.Emit(event.Started, "role", s.Role, "domain", s.Domain, "callers", s.Listen.Callers, "vms", e.self.Address, "memory", s.MemoryMB)
	err := g.Wait()
	e.client.Close()
	e.Observer.Emit(event.Stopped, "error", err)
	return err
}

func (e *Entry) build(ctx context.Context) {
	e.placement = place.NewTable()
	e.limiter = rate.NewLimiter(e.self.VM, time.Duration(e.Settings.RateWindow*float64(time.Second)))
	e.limiter.Overage = e.Settings.Overage
	e.ledger = &ledger.Client{Peers: e.client, Observer: e.Observer, Domain: e.Settings.Domain}
	e.checkpoint = &checkpoint.Client{
		VM: e.self.VM, Peers: e.client, Limiter: e.limiter, Observer: e.Observer, Stores: e.checkpointStores,
		VMs: func() int { return e.fleet.Count() + 1 },
	}
	e.status = e.collectStatus
	e.fleet = &peer.Fleet{
		Self: e.self, Describe: e.describe,
		OnSummary:   func(s peer.Summary) { e.handleSummary(ctx, &s) },
		OnDigest:    func(d peer.Digest) { e.handleDigest(ctx, &d) },
		GrantTokens: e.limiter.Lend,
		OnGrant:     e.limiter.ReceiveTokens,
	}
	size := int64(e.Settings.MemoryMB) << 20
	e.limiter.RequestTokens = e.fleet.RequestTokens
	answers := e.Settings.Answers
	pool := exchange.NewPool(platform.KeepAlive)
	pool.MaxHead = answers.Head
	opened := e.Metrics.NewCounter("instance_connections_total")
	pool.OnDial = func(chestnutcleat.Address, error) { opened.Inc() }
	e.handler = &entry.Handler{
		Codec: platform.Codec{}, Config: e.config.Load, Instances: e.placement, Pool: pool, Rates: e.limiter, Ledger: e.ledger,
		Crashes: &entry.CrashTracker{}, Observer: e.Observer, Metrics: &entry.Metrics{Set: e.Metrics},
		Domain: e.Settings.Domain, Memory: &memory.Budget{Limit: size / bodyMemoryDivisor}, Bounds: entry.Bounds{Body: answers.Body, Event: answers.Event, Output: answers.Output},
		OnPanic: func(err error) { e.reportPanic("request of a caller", err) },
	}
	e.initBlocks()
	e.polled = []chestnutcleat.ObjectKind{platform.ConfigKind, platform.InstanceKind}
	e.follow(platform.ConfigKind, false, e.configChanged)
	e.follow(platform.InstanceKind, true, e.instancesChanged)
	e.follow(fleetKind, false, e.fleetChanged)
	e.following.mirror = e.mirrors[platform.InstanceKind]
	e.handler.ConfirmInstances = e.following.confirm
	e.registerGauges()
	e.Metrics.NewGauge("body_memory_bytes", func() float64 { return float64(e.handler.Memory.Used()) })
}

// checkpointStores returns the addresses of the storage VMs that keep this VM's reports: one more than may be lost at a time, by
// rendezvous hashing over those that hold records.
func (e *Entry) checkpointStores() []chestnutcleat.Address {
	score := func(r chestnutcleat.Replica) uint64 { return chestnutcleat.Rendezvous(string(e.self.VM), r.VM) }
	return e.firstStores(func(a, b chestnutcleat.Replica) int { return cmp.Compare(score(b), score(a)) })
}

// firstStores returns the addresses of the first storage VMs of those that hold records, in the given order: one more than may be lost at
// a time.
func (e *Entry) firstStores(compare func(a, b chestnutcleat.Replica) int) []chestnutcleat.Address {
	set := e.ledger.ReplicaSet()
	list := set.All()
	slices.SortFunc(list, compare)
	var out []chestnutcleat.Address
	for _, r := range list[:min(len(list), e.Settings.Tolerance+1)] {
		out = append(out, r.Address)
	}
	return out
}

// listen opens the sockets for callers, readiness probes and the registry.
func (e *Entry) listen(ctx context.Context) error {
	s := &e.Settings.Listen
	l := net.ListenConfig{KeepAliveConfig: platform.KeepAlive}
	for _, v := range []struct {
		address chestnutcleat.Address
		handler http.Handler
	}{
		{s.Callers, e.handler},
		{s.Ready, platform.Readiness(e.isReady)},
		{s.Registry, platform.Registry(e.addresses)},
	} {
		n, err := l.Listen(ctx, "tcp", string(v.address))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", v.address, err)
		}
		h := &http.Server{Handler: v.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
		e.servers = append(e.servers, accept.NewServer(n.(*net.TCPListener), h))
	}
	return nil
}

func (e *Entry) isReady() bool { return e.config.Load() != nil && e.knowsBlocks() && !e.leaving.Load() }

// collectStatus returns the status of this VM.
func (e *Entry) collectStatus() Status {
	s := e.base.collectStatus(e.ledger.ReplicaSet())
	if t := e.config.Load(); t != nil {
		s.Configuration = &ConfigStatus{Number: t.Number, Version: t.Revision, Routes: len(t.Routes), Customers: len(t.Customers)}
	}
	return s
}

// describe fills in this VM's summary for other VMs.
func (e *Entry) describe(s *peer.Summary) {
	s.Leaving = e.leaving.Load()
	s.PlatformUnreachable, s.Unwritable = e.platformUnreachable(), !e.ledger.Writable()
	s.Versions, s.Confirmed = e.versions(), e.confirmed()
	s.CrashCounts, s.Blocks = e.handler.Crashes.RecentCounts(), e.handler.Crashes.BlocksHash()
	s.Activities = e.limiter.Activities()
	s.Load, s.Outcomes = e.placement.OwnLoad(), e.placement.Outcomes()
	s.Departures = e.placement.ObservedDepartures()
}

// handleSummary processes the summary of another VM.
func (e *Entry) handleSummary(ctx context.Context, s *peer.Summary) {
	if len(s.CrashCounts) > 0 {
		// A process that starts counts anew, so its counts add to those of the one before.
		e.handler.Crashes.Merge(fmt.Sprintf("%s/%x", s.VM, s.Incarnation), s.CrashCounts)
	}
	e.blocks.catchUp(ctx, s.VM, s.Blocks)
	e.applyConfirmed(s.Versions, s.Confirmed)
	e.fetcher.catchUp(ctx, s.VM, s.Versions)
}

// handleDigest processes a digest, in which a relay summarizes other VMs.
func (e *Entry) handleDigest(ctx context.Context, d *peer.Digest) {
	e.handler.Crashes.Merge("group "+string(d.Group), d.CrashCounts)
	e.blocks.catchUp(ctx, d.From, d.Blocks)
	e.applyConfirmed(d.Versions, d.Confirmed)
	e.fetcher.catchUp(ctx, d.From, d.Versions)
}

// trackFleet updates the instances' load and the set of VMs that share the rates from what other VMs report.
func (e *Entry) trackFleet() {
	if err := e.following.check(); err != nil {
		e.placement.RestartVersionHistory()
	}
	e.applyTotals()
	if e.mirrors[fleetKind].Version() > 0 {
		e.limiter.SetVMs(e.shareHolders())
	}
}

// applyTotals applies what other VMs report about instances and programs, and reports ejected instances.
func (e *Entry) applyTotals() {
	t := e.fleet.Totals()
	e.placement.SetRemoteLoad(t.Load)
	e.limiter.SetActivities(t.Activities, fleetCheckInterval)
	for _, id := range e.placement.ApplyDepartures(t.Departures) {
		e.noteDeparture(id, entry.DepartureByPeer)
	}
	for _, v := range e.placement.EjectOutliers(t.Outcomes, t.DomainOutcomes) {
		e.Observer.Emit(event.InstanceEjected, "instance", v.Instance, "share", v.FailureRate, "rest", v.Duration.Seconds())
	}
}

// noteDeparture counts and reports an instance of which this VM learned that it leaves.
func (e *Entry) noteDeparture(id chestnutcleat.InstanceID, by entry.DepartureSource) {
	e.handler.Metrics.Departed(by)
	e.Observer.Emit(event.InstanceDeparted, "instance", id, "by", by)
}

// addresses returns the addresses to which callers of a failure domain connect. A VM that is cut off returns none, so that
// callers ask another VM.
func (e *Entry) addresses(_ chestnutcleat.Region, domain chestnutcleat.FailureDomain) ([]chestnutcleat.Address, float64) {
	writable := e.ledger.Writable()
	if _, heard := e.rankHeard(); isCutOff(heard, e.fleet.Count()+1, writable) {
		return nil, 0
	}
	var list []peer.Summary
	if !e.leaving.Load() {
		list = append(list, peer.Summary{Member: e.self, Unwritable: !writable})
	}
	for p := range e.fleet.All() {
		if !p.Silent() && !p.Leaving {
			list = append(list, p.Summary)
		}
	}
	return addressesFor(domain, list), e.addressTTL().Seconds()
}

// addressTTL returns how long callers may cache a list of addresses.
func (e *Entry) addressTTL() time.Duration {
	return time.Duration(min(maxAddressTTLSeconds, e.settings().MaxAddressTTL) * float64(time.Second))
}
