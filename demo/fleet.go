package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/object"
	"chestnutcleat.example/chestnutcleat/operator"
	"chestnutcleat.example/chestnutcleat/process"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/engine"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
	"chestnutcleat.example/chestnutcleat/standin/service"
)

// readyTimeout bounds the time until all VMs are ready.
const readyTimeout = 20 * time.Second

// Fleet is a set of VMs with stand-ins for the platform, the engines and a service, all on loopback addresses.
type Fleet struct {
	VMs     int
	Engines int
	// Decode and Prefill are the engines' rates in tokens per second.
	Decode, Prefill float64
	// Cache is the size of each engine's prefix cache.
	Cache chestnutcleat.Tokens
	// Customers are the customers of the manifest; CustomerKey returns their keys.
	Customers []chestnutcleat.Customer
	// Observer receives the events of all VMs.
	Observer chestnutcleat.Observer
	Policy   dispatch.Policy
	// Record makes the stand-ins keep all requests that they receive.
	Record bool

	// Processes are the VMs' processes, in the order of their start.
	Processes []*process.Process
	// EngineStandins, Service and Store (the platform's) are the stand-ins.
	EngineStandins []*engine.Engine
	Service        *service.Service
	Store          *standin.Store

	goroutines *errgroup.Group
	stopChans  []chan struct{}
	cancels    []context.CancelFunc
	listeners  []net.Listener
}

// Names of the demo's model and routes.
const (
	Model     chestnutcleat.ModelName = "small"
	ChatRoute chestnutcleat.RouteName = "chat"
	BookRoute chestnutcleat.RouteName = "book"
	LookRoute chestnutcleat.RouteName = "look"
)

var domains = []chestnutcleat.FailureDomain{"petrolina", "juazeiro", "casa-nova"}

// CustomerKey returns the key of a customer.
func CustomerKey(c chestnutcleat.CustomerID) string { return "demo-key-of-" + string(c) }

// Start starts the stand-ins and the VMs, applies the manifest and waits until all VMs are ready.
func (f *Fleet) Start(ctx context.Context) error {
	f.goroutines, ctx = errgroup.WithContext(ctx)
	f.Store = standin.NewStore(1)
	url, err := f.serveStandin(f.Store.Handler())
	if err != nil {
		return err
	}
	m, err := f.startUpstreams()
	if err != nil {
		return err
	}
	var seeds []chestnutcleat.Address
	for i := range f.VMs {
		if err := f.startVM(ctx, i, "http://"+string(url), seeds); err != nil {
			return err
		}
		seeds = append(seeds, f.Processes[i].Addresses().VMs)
	}
	return f.applyManifest(ctx, m)
}

// serveStandin serves a stand-in on a free port and returns its address.
func (f *Fleet) serveStandin(h http.Handler) (chestnutcleat.Address, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	f.listeners = append(f.listeners, l)
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.goroutines.Go(func() error {
		if err := s.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("stand-in on %s: %w", l.Addr(), err)
		}
		return nil
	})
	return chestnutcleat.Address(l.Addr().String()), nil
}

// startUpstreams starts the engines and the service and returns a manifest that lists them.
func (f *Fleet) startUpstreams() (chestnutcleat.Manifest, error) {
	m := chestnutcleat.Manifest{}
	chat := chestnutcleat.Route{Name: ChatRoute, Kind: chestnutcleat.UpstreamEngine, Model: Model, Repeatable: true}
	for i := range f.Engines {
		e := &engine.Engine{Models: []chestnutcleat.ModelName{Model}, Decode: f.Decode, Prefill: f.Prefill, Cache: f.Cache, Seed: uint64(i), ReportDelay: time.Second, Record: f.Record}
		f.EngineStandins = append(f.EngineStandins, e)
		a, err := f.serveStandin(e)
		if err != nil {
			return m, err
		}
		id := chestnutcleat.UpstreamID(fmt.Sprintf("engine%d", i+1))
		m.Upstreams = append(m.Upstreams, chestnutcleat.Upstream{
			ID: id, Kind: chestnutcleat.UpstreamEngine, Address: a, Domain: domains[i%len(domains)],
			Models: e.Models, Slots: engineSlots, Cache: f.Cache, Prefill: f.Prefill, Decode: f.Decode,
		})
		chat.Upstreams = append(chat.Upstreams, id)
	}
	f.Service = &service.Service{Record: f.Record}
	a, err := f.serveStandin(f.Service)
	if err != nil {
		return m, err
	}
	m.Upstreams = append(m.Upstreams, chestnutcleat.Upstream{ID: "rota", Kind: chestnutcleat.UpstreamService, Address: a, Domain: domains[0], Slots: serviceSlots})
	m.Routes = []chestnutcleat.Route{
		chat,
		{Name: BookRoute, Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"rota"}},
		{Name: LookRoute, Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"rota"}, Repeatable: true, Open: true},
	}
	for _, c := range f.Customers {
		c.Keys = []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte(CustomerKey(c.ID)))}
		m.Customers = append(m.Customers, c)
	}
	return m, nil
}

const (
	engineSlots  = 6
	serviceSlots = 16
)

func (f *Fleet) startVM(ctx context.Context, i int, url string, seeds []chestnutcleat.Address) error {
	ready, stop := make(chan struct{}), make(chan struct{})
	id := chestnutcleat.VMID(fmt.Sprintf("vm%d", i+1))
	p := &process.Process{
		Settings: settings.Settings{
			VM: id, Domain: domains[i%len(domains)], Region: "nordeste", Platform: url,
			Addresses: settings.Addresses{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", VMs: "127.0.0.1:0"},
			Seeds:     append([]chestnutcleat.Address(nil), seeds...),
			Grace:     chestnutcleat.Duration(settings.DefaultGrace),
		},
		Platform: &object.Client{URL: url, Name: string(id)},
		Observer: f.Observer,
		Policy:   f.Policy,
		Stop:     stop,
		Ready:    func() { close(ready) },
	}
	ctx, cancel := context.WithCancel(ctx)
	failed := make(chan error, 1)
	f.goroutines.Go(func() error {
		err := p.Run(ctx)
		failed <- err
		return err
	})
	f.Processes = append(f.Processes, p)
	f.stopChans = append(f.stopChans, stop)
	f.cancels = append(f.cancels, cancel)
	select {
	case <-ready:
		return nil
	case err := <-failed:
		return fmt.Errorf("start %s: %w", id, err)
	}
}

// applyManifest puts the manifest into effect and waits until every VM is ready.
func (f *Fleet) applyManifest(ctx context.Context, m chestnutcleat.Manifest) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	client := operator.Client{Address: f.Processes[0].Addresses().Operators, Who: "demo"}
	if _, err := client.Apply(ctx, manifest.Change{Raw: raw}); err != nil {
		return fmt.Errorf("apply manifest: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range f.Processes {
		if err := waitReady(ctx, p.Addresses().Operators); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, a chestnutcleat.Address) error {
	for {
		resp, err := http.Get("http://" + string(a) + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("VM at %s is not ready: %w", a, ctx.Err())
		case <-time.After(readyInterval):
		}
	}
}

const readyInterval = 50 * time.Millisecond

// Callers returns the VMs' addresses for callers.
func (f *Fleet) Callers() []chestnutcleat.Address {
	var list []chestnutcleat.Address
	for _, p := range f.Processes {
		list = append(list, p.Addresses().Callers)
	}
	return list
}

// Shutdown starts the graceful shutdown of VM i and returns at once.
func (f *Fleet) Shutdown(i int) { close(f.stopChans[i]) }

// Kill ends VM i without a graceful shutdown.
func (f *Fleet) Kill(i int) { f.cancels[i]() }

// Stop ends all VMs and stand-ins.
func (f *Fleet) Stop() error {
	for _, cancel := range f.cancels {
		cancel()
	}
	for _, l := range f.listeners {
		l.Close()
	}
	return f.goroutines.Wait()
}
