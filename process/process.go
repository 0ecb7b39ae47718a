package process

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/node"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/upstream"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Process runs one VM.
type Process struct {
	Settings settings.Settings
	Platform chestnutcleat.Platform
	Observer chestnutcleat.Observer
	// Metrics receives the metrics of this process.
	Metrics *metrics.Set
	// Policy selects the dispatch policy; the zero value is the default one.
	Policy dispatch.Policy
	// Stop starts the graceful shutdown; cancelling the context of Run ends the process immediately.
	Stop <-chan struct{}
	// Ready is called once the listeners are open.
	Ready func()

	node      *node.Node
	client    *vm.Client
	handler   *caller.Handler
	callers   *accept.Server
	operators *accept.Server
	listeners listeners
	// staleLists is how long callers may connect with an outdated address list after the shutdown began.
	staleLists time.Duration
	// handOver moves this VM's slots to other VMs and leaves the fleet.
	handOver func(ctx context.Context) error
}

// listeners holds the listening sockets of a process.
type listeners struct {
	callers, operators, vms net.Listener
}

// Addresses returns the addresses that the process listens on; they are final once Ready has been called.
func (p *Process) Addresses() settings.Addresses { return p.Settings.Addresses }

// Run serves until ctx is done or a graceful shutdown is complete.
func (p *Process) Run(ctx context.Context) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.build()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return vm.Serve(ctx, p.listeners.vms, p.node.Mux) })
	g.Go(func() error { return p.node.Run(ctx) })
	g.Go(p.callers.Serve)
	g.Go(p.operators.Serve)
	g.Go(func() error { p.announce(ctx, false); return nil })
	g.Go(func() error {
		defer cancel()
		return p.shutdown(ctx)
	})
	a := p.Settings.Addresses
	p.Observer.Emit(event.Started, "domain", p.Settings.Domain, "callers", a.Callers, "operators", a.Operators, "vms", a.VMs)
	if p.Ready != nil {
		p.Ready()
	}
	err := g.Wait()
	p.client.Close()
	p.Observer.Emit(event.Stopped)
	return err
}

// listen opens the sockets and replaces port 0 in the settings with the port that the system chose.
func (p *Process) listen() error {
	a := &p.Settings.Addresses
	for _, l := range []struct {
		into    *net.Listener
		address *chestnutcleat.Address
	}{{&p.listeners.callers, &a.Callers}, {&p.listeners.operators, &a.Operators}, {&p.listeners.vms, &a.VMs}} {
		n, err := net.Listen("tcp", string(*l.address))
		if err != nil {
			p.listeners.close()
			return fmt.Errorf("listen on %s: %w", *l.address, err)
		}
		*l.into = n
		*l.address = chestnutcleat.Address(n.Addr().String())
	}
	return nil
}

func (l *listeners) close() {
	for _, n := range []net.Listener{l.callers, l.operators, l.vms} {
		if n != nil {
			n.Close()
		}
	}
}

func (p *Process) build() {
	if p.Metrics == nil {
		p.Metrics = metrics.NewSet()
	}
	p.client = vm.NewClient()
	start := time.Now()
	p.node = &node.Node{
		Self: chestnutcleat.VM{
			ID:            p.Settings.VM,
			Incarnation:   chestnutcleat.Incarnation(start.UnixMilli()),
			State:         chestnutcleat.VMLive,
			Address:       p.Settings.Addresses.VMs,
			CallerAddress: p.Settings.Addresses.Callers,
			Domain:        p.Settings.Domain,
			Region:        p.Settings.Region,
		},
		Peers:      p.client,
		Platform:   p.Platform,
		Observer:   p.Observer,
		Seeds:      p.Settings.Seeds,
		DataFolder: p.Settings.DataFolder,
		Transport:  upstream.NewTransport(true, nil),
		Rand:       rand.New(rand.NewPCG(uint64(start.UnixNano()), rand.Uint64())),
		Policy:     p.Policy,
	}
	p.staleLists = cmp.Or(p.staleLists, staleListTime)
	p.node.Init()
	if p.handOver == nil {
		p.handOver = p.node.Leave
	}
	p.handler = &caller.Handler{Owners: p.node, Directory: p.node, Observer: p.Observer, ManifestReady: p.node.ManifestInEffect(), Metrics: p.Metrics}
	p.callers = accept.NewServer(p.listeners.callers.(*net.TCPListener), p.handler.Server())
	p.operators = accept.NewServer(p.listeners.operators.(*net.TCPListener), p.operatorServer())
}
