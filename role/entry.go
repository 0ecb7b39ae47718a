package role

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// headerTime bounds the reading of a caller's header; configurations allow 3 s.
	headerTime = 10 * time.Second
	// idleTime is above every idle time that callers rely on.
	idleTime = 2 * time.Minute
	// maxHeader bounds a caller's header in bytes; configurations allow 16 KiB.
	maxHeader = 64 << 10
	// holdTime is how long callers keep a list of addresses, in seconds.
	holdTime = 2.5
	// tick is the time between looks at the other VMs.
	tick = 200 * time.Millisecond
	// bodyShare and cacheShare are the parts of the process's memory for bodies and kept turns.
	bodyShare  = 4
	cacheShare = 16
)

// Entry is the process of an entry VM.
type Entry struct {
	base
	// Stop starts the graceful shutdown.
	Stop <-chan struct{}

	config  atomic.Pointer[config.Table]
	places  *place.Table
	rates   *rate.Fleet
	ledger  *ledger.Client
	handler *entry.Handler
	leaving atomic.Bool
	// servers are those for callers, readiness and the registry.
	servers []*accept.Server
	// unread has the versions of instances' objects that could not be decoded.
	unread map[chestnutcleat.InstanceID]chestnutcleat.Version
}

// Run serves until ctx is done or the shutdown has ended.
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
	g.Go(func() error { return e.poll(ctx, platform.ConfigKind, platform.InstanceKind) })
	g.Go(func() error { return e.watchFleet(ctx) })
	g.Go(func() error { return e.forgetGone(ctx) })
	for _, s := range e.servers {
		g.Go(s.Serve)
	}
	g.Go(func() error {
		defer cancel()
		e.shutdown(ctx)
		return nil
	})
	s := &e.Settings
	e.Observer.Emit(event.Started, "role", s.Role, "domain", s.Domain, "callers", s.Listen.Callers, "vms", e.self.Address, "memory", s.Memory)
	err := g.Wait()
	e.client.Close()
	e.Observer.Emit(event.Stopped, "error", err)
	return err
}

func (e *Entry) build(ctx context.Context) {
	e.places = place.NewTable()
	e.rates = rate.NewFleet(e.self.VM, time.Duration(e.Settings.Window*float64(time.Second)))
	e.rates.Overage = e.Settings.Overage
	e.ledger = &ledger.Client{Peers: e.client, Observer: e.Observer, Domain: e.Settings.Domain}
	e.unread = map[chestnutcleat.InstanceID]chestnutcleat.Version{}
	e.known = e.beliefs
	e.fleet = &peer.Fleet{
		Self: e.self, Describe: e.describe,
		Received: func(s peer.Summary) { e.received(ctx, &s) },
		Digested: func(d peer.Digest) { e.digested(ctx, &d) },
		Asked:    e.rates.Give,
		Granted:  e.rates.Take,
	}
	memory := int64(e.Settings.Memory) << 20
	e.rates.Ask = e.fleet.Ask
	pool := exchange.NewPool(platform.Probes)
	opened := e.Metrics.NewCounter("instance_connections_total")
	pool.Opened = func(chestnutcleat.Address, error) { opened.Inc() }
	e.handler = &entry.Handler{
		Codec: platform.Codec{}, Config: e.config.Load, Places: e.places, Pool: pool, Rates: e.rates, Ledger: e.ledger,
		Turns: &entry.TurnCache{Size: int(memory / cacheShare)}, Suspects: &entry.Suspects{}, Observer: e.Observer, Metrics: &entry.Metrics{Set: e.Metrics},
		Domain: e.Settings.Domain, Memory: memory / bodyShare,
	}
	e.follow(platform.ConfigKind, false, e.configChanged)
	e.follow(platform.InstanceKind, true, e.instancesChanged)
	e.follow(fleetKind, false, e.fleetChanged)
	e.gauges()
}

// listen opens the sockets for callers and for those who ask where to connect.
func (e *Entry) listen(ctx context.Context) error {
	s := &e.Settings.Listen
	l := net.ListenConfig{KeepAliveConfig: platform.Probes}
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
		h := &http.Server{Handler: v.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader}
		e.servers = append(e.servers, accept.NewServer(n.(*net.TCPListener), h))
	}
	return nil
}

func (e *Entry) isReady() bool { return e.config.Load() != nil && !e.leaving.Load() }

// beliefs are what this VM takes for true.
func (e *Entry) beliefs() Beliefs {
	b := e.base.beliefs(e.ledger.Copies())
	if t := e.config.Load(); t != nil {
		b.Configuration = &ConfigurationBelief{Number: t.Number, Version: t.Revision, Routes: len(t.Routes), Customers: len(t.Customers)}
	}
	return b
}

// describe fills in this VM's summary.
func (e *Entry) describe(s *peer.Summary) {
	s.Leaving = e.leaving.Load()
	s.Away, s.Unwritable = e.away(), !e.ledger.Writable()
	s.Versions = e.versions()
	s.Breaks = e.handler.Suspects.News()
	s.Load, s.Tally = e.places.Own(), e.places.Tally()
}

// received takes over what another VM tells.
func (e *Entry) received(ctx context.Context, s *peer.Summary) {
	e.handler.Suspects.Heard(string(s.VM), s.Breaks)
	e.catchUp(ctx, s.VM, s.Versions)
}

// digested takes over what a relay tells of other VMs.
func (e *Entry) digested(ctx context.Context, d *peer.Digest) {
	e.handler.Suspects.Heard("group "+string(d.Group), d.Breaks)
	e.catchUp(ctx, d.From, d.Versions)
}

// watchFleet follows which VMs are heard and what they report about instances.
func (e *Entry) watchFleet(ctx context.Context) error {
	for chestnutcleat.Sleep(ctx, tick) == nil {
		e.followInstances()
		if e.mirrors[fleetKind].Version() > 0 {
			e.rates.SetVMs(append(e.fleet.VMs(), e.self.VM))
		}
	}
	return nil
}

// followInstances takes over what the VMs that are heard report about instances.
func (e *Entry) followInstances() {
	t := e.fleet.Totals()
	e.places.SetOthers(t.Load)
	for _, v := range e.places.Judge(t.Tally, t.Near) {
		e.Observer.Emit(event.Ejected, "instance", v.Instance, "share", v.Share, "rest", v.Rest.Seconds())
	}
}

// addresses are where callers of a failure domain connect. A VM that is cut off names none, so that callers ask another one.
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
	return addressesIn(domain, list), min(holdTime, e.settings().Hold)
}

// configChanged puts a newer configuration into effect.
func (e *Entry) configChanged(s mirror.Snapshot) {
	for _, o := range s.Objects {
		if o.Name != platform.ConfigName {
			continue
		}
		known := e.config.Load()
		if known != nil && known.Revision >= o.Version {
			return
		}
		c, err := platform.DecodeConfig(o)
		if err != nil {
			e.Observer.Emit(event.ConfigInvalid, "version", o.Version, "error", err)
			return
		}
		e.rates.Set(c.Customers)
		e.config.Store(config.NewTable(c))
		e.Observer.Emit(event.ConfigApplied, "number", c.Number, "version", c.Revision, "routes", len(c.Routes), "customers", len(c.Customers))
		return
	}
}

// instancesChanged takes over the list of instances; entries that name none are left out.
func (e *Entry) instancesChanged(s mirror.Snapshot) {
	list := make([]chestnutcleat.Instance, 0, len(s.Objects))
	leaving := 0
	for _, o := range s.Objects {
		i, err := platform.DecodeInstance(o)
		if err != nil {
			if e.unread[chestnutcleat.InstanceID(o.Name)] != o.Version {
				e.Observer.Emit(event.EntryUnread, "object", o.Name, "version", o.Version, "error", err)
			}
			e.unread[chestnutcleat.InstanceID(o.Name)] = o.Version
			continue
		}
		if i.Leaving {
			leaving++
		}
		list = append(list, i)
	}
	e.places.Set(list)
	e.Observer.Emit(event.InstancesKnown, "version", s.Version, "instances", len(list), "leaving", leaving)
}

// fleetChanged takes over the list of VMs and the set of copies.
func (e *Entry) fleetChanged(s mirror.Snapshot) {
	e.fleet.SetMembers(e.members(s))
	for _, o := range s.Objects {
		if o.Name != copiesName {
			continue
		}
		var set chestnutcleat.Copies
		if err := json.Unmarshal(o.Data, &set); err != nil {
			e.Observer.Emit(event.EntryUnread, "object", o.Name, "version", o.Version, "error", err)
			continue
		}
		e.ledger.SetCopies(set)
	}
}
