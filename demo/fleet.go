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

// readyTimeout bounds the start of the fleet.
const readyTimeout = 20 * time.Second

// Fleet is several VMs with stand-ins of the platform, engines and a service, all on loopback addresses.
type Fleet struct {
	// VMs is the number of VMs.
	VMs int
	// Engines is the number of engines.
	Engines int
	// Decode and Prefill are the engines' speeds in tokens per second.
	Decode, Prefill float64
	// Cache is the size of an engine's prefix cache.
	Cache chestnutcleat.Tokens
	// Customers are the customers of the manifest; their keys are KeyOf(id).
	Customers []chestnutcleat.Customer
	// Observer receives the events of all VMs.
	Observer chestnutcleat.Observer
	Policy   dispatch.Policy
	// Record lets the stand-ins keep every received request.
	Record bool

	// Processes are the VMs, in order.
	Processes []*process.Process
	// EngineStandins and Service are the stand-ins.
	EngineStandins []*engine.Engine
	Service        *service.Service
	Store          *standin.Store

	group *errgroup.Group
	stops []chan struct{}
	ends  []context.CancelFunc
	lists []net.Listener
}

// Names of the demo's routes.
const (
	Model     chestnutcleat.ModelName = "small"
	ChatRoute chestnutcleat.RouteName = "chat"
	BookRoute chestnutcleat.RouteName = "book"
	LookRoute chestnutcleat.RouteName = "look"
)

var domains = []chestnutcleat.FailureDomain{"petrolina", "juazeiro", "casa-nova"}

// KeyOf returns the key of a customer of the demo.
func KeyOf(c chestnutcleat.CustomerID) string { return "demo-key-of-" + string(c) }

// Start starts the stand-ins and the VMs and applies the manifest.
func (f *Fleet) Start(ctx context.Context) error {
	f.group, ctx = errgroup.WithContext(ctx)
	f.Store = standin.NewStore(1)
	url, err := f.serve(f.Store.Handler())
	if err != nil {
		return err
	}
	m, err := f.upstreams()
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
	return f.apply(ctx, m)
}

// serve runs a stand-in on a port that the system chooses.
func (f *Fleet) serve(h http.Handler) (chestnutcleat.Address, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	f.lists = append(f.lists, l)
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.group.Go(func() error {
		if err := s.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("stand-in on %s: %w", l.Addr(), err)
		}
		return nil
	})
	return chestnutcleat.Address(l.Addr().String()), nil
}

// upstreams starts the engines and the service and returns the manifest that lists them.
func (f *Fleet) upstreams() (chestnutcleat.Manifest, error) {
	m := chestnutcleat.Manifest{}
	chat := chestnutcleat.Route{Name: ChatRoute, Kind: chestnutcleat.UpstreamEngine, Model: Model, Repeatable: true}
	for i := range f.Engines {
		e := &engine.Engine{Models: []chestnutcleat.ModelName{Model}, Decode: f.Decode, Prefill: f.Prefill, Cache: f.Cache, Seed: uint64(i), Lag: time.Second, Record: f.Record}
		f.EngineStandins = append(f.EngineStandins, e)
		a, err := f.serve(e)
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
	a, err := f.serve(f.Service)
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
		c.Keys = []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte(KeyOf(c.ID)))}
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
	ctx, end := context.WithCancel(ctx)
	failed := make(chan error, 1)
	f.group.Go(func() error {
		err := p.Run(ctx)
		failed <- err
		return err
	})
	f.Processes = append(f.Processes, p)
	f.stops = append(f.stops, stop)
	f.ends = append(f.ends, end)
	select {
	case <-ready:
		return nil
	case err := <-failed:
		return fmt.Errorf("start %s: %w", id, err)
	}
}

// apply puts the manifest into effect and waits until every VM is ready.
func (f *Fleet) apply(ctx context.Context, m chestnutcleat.Manifest) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	c := operator.Client{Address: f.Processes[0].Addresses().Operators, Who: "demo"}
	if _, err := c.Apply(ctx, manifest.Change{Raw: raw}); err != nil {
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
		r, err := http.Get("http://" + string(a) + "/readyz")
		if err == nil {
			r.Body.Close()
			if r.StatusCode/100 == 2 {
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

// Callers returns the addresses that callers use.
func (f *Fleet) Callers() []chestnutcleat.Address {
	var list []chestnutcleat.Address
	for _, p := range f.Processes {
		list = append(list, p.Addresses().Callers)
	}
	return list
}

// Leave shuts VM i down gracefully, without waiting for its end.
func (f *Fleet) Leave(i int) { close(f.stops[i]) }

// Kill ends VM i at once.
func (f *Fleet) Kill(i int) { f.ends[i]() }

// Stop ends everything.
func (f *Fleet) Stop() error {
	for _, end := range f.ends {
		end()
	}
	for _, l := range f.lists {
		l.Close()
	}
	return f.group.Wait()
}
