package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/role"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/store"
)

const (
	entryCount, storeCount, toolCount, modelCount = 4, 3, 3, 4

	internalPort, callersPort, readyPort, registryPort, metricsPort = 7780, 8368, 8369, 8360, 9464
	// memory is that of each process, in megabytes, and grace the time that a planned stop has, in seconds.
	memory = 128
	grace  = 6
)

// domainCount is the number of failure domains.
const domainCount = 2

func numbered(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i+1))
	}
	return list
}

// fleetNames are the VMs and instances of each run.
func fleetNames() names {
	return names{
		entries: numbered("entry-", entryCount), stores: numbered("store-", storeCount),
		instances: append(numbered(instance.ServiceTool+"-", toolCount), numbered(instance.ServiceModel+"-", modelCount)...),
	}
}

// upstream is a stand-in of an instance and its link.
type upstream struct {
	*instance.Server
	link *link
	// domain and born are those of its entry at the platform.
	domain string
	born   int64
}

// fleet is the processes of a run and the stand-ins beside them.
type fleet struct {
	log       *instance.Log
	platform  *store.Store
	processes map[string]*process
	upstreams map[string]*upstream
	servers   []*http.Server
	running   sync.WaitGroup
	// registries are where callers ask for addresses.
	registries []string

	mu     sync.Mutex
	errors []error
	// sample is the configuration in force.
	sample instance.Sample
}

// newFleet starts the stand-ins and the processes of a program in a folder.
func newFleet(program, folder string) (*fleet, error) {
	f := &fleet{
		log: &instance.Log{}, platform: store.New(), sample: instance.Sample{Timeout: deadline},
		processes: map[string]*process{}, upstreams: map[string]*upstream{},
	}
	platform, err := f.serve(f.platform.Handler())
	if err != nil {
		return nil, err
	}
	n := fleetNames()
	for i, id := range n.instances {
		if err := f.addInstance(id, domain(i)); err != nil {
			return nil, err
		}
	}
	f.configure(func(*instance.Sample) {})
	for i, id := range append(n.entries, n.stores...) {
		kind := settings.RoleEntry
		if i >= entryCount {
			kind = settings.RoleStore
		}
		if err := f.addProcess(program, folder, vmSettings(id, kind, i, platform.Addr().String(), folder)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func domain(i int) string { return fmt.Sprint("domain-", i%domainCount) }

// serve runs a stand-in.
func (f *fleet) serve(h http.Handler) (*link, error) {
	l, err := newLink()
	if err != nil {
		return nil, fmt.Errorf("listen for a stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.running.Go(func() { _ = s.Serve(l) })
	return l, nil
}

func (f *fleet) addInstance(id, domain string) error {
	u := &upstream{Server: &instance.Server{ID: id, Log: f.log}, domain: domain, born: time.Now().UnixMilli()}
	var err error
	if u.link, err = f.serve(u.Server); err != nil {
		return err
	}
	f.upstreams[id] = u
	f.enter(u, instance.StateReady)
	return nil
}

// enter writes an instance's entry at the platform.
func (f *fleet) enter(u *upstream, state string) {
	service, _, _ := strings.Cut(u.ID, "-")
	f.platform.Set("servers", u.ID, instance.Entry(service, u.link.Addr().String(), u.domain, state, u.born))
}

// configure writes the configuration as an operator does.
func (f *fleet) configure(change func(*instance.Sample)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.sample)
	f.sample.Version++
	f.platform.Set("config", "main", f.sample.Configuration())
}

// vmSettings are those of a VM; each has a loopback address of its own, so that ports are the same on all.
func vmSettings(id, kind string, i int, platform, folder string) settings.Role {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%64, 1+os.Getpid()%250, i+1)
	at := func(port int) chestnutcleat.Address {
		return chestnutcleat.Address(net.JoinHostPort(ip, fmt.Sprint(port)))
	}
	s := settings.Role{
		VM: chestnutcleat.VMID(id), Role: kind, Domain: chestnutcleat.FailureDomain(domain(i)), Region: "region",
		IP: ip, Ports: []int{internalPort, internalPort}, Platform: chestnutcleat.Address(platform), Tolerance: 1,
		Memory: memory, Grace: grace, Hold: 1, Apply: int(applyTime.Milliseconds()), Drain: int(drainTime.Milliseconds()),
		Window: window.Seconds(), Overage: overage, Metrics: metricsPort,
	}
	if kind == settings.RoleEntry {
		s.Listen = settings.Listen{Callers: at(callersPort), Ready: at(readyPort), Registry: at(registryPort)}
	} else {
		s.Folder = filepath.Join(folder, id+".disk")
	}
	return s
}

func (f *fleet) addProcess(program, folder string, s settings.Role) error {
	if s.Folder != "" {
		if err := os.MkdirAll(s.Folder, 0o700); err != nil {
			return fmt.Errorf("make disk of %s: %w", s.VM, err)
		}
	} else {
		f.registries = append(f.registries, string(s.Listen.Registry))
	}
	p, err := newProcess(program, folder, s)
	if err != nil {
		return err
	}
	f.processes[string(s.VM)] = p
	f.running.Go(func() {
		if err := p.run(); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.errors = append(f.errors, err)
		}
	})
	return nil
}

// differences returns the VMs that believe other than most of their role once the faults are over.
func (f *fleet) differences(ctx context.Context) []string {
	var out []string
	n := fleetNames()
	for _, id := range []string{n.entries[0], n.stores[0]} {
		a := net.JoinHostPort(f.processes[id].settings.IP, fmt.Sprint(metricsPort))
		answers, err := role.Survey(ctx, chestnutcleat.Address(a))
		if err != nil {
			out = append(out, fmt.Sprintf("%s does not say what it knows: %v", id, err))
		}
		for _, o := range role.Outliers(answers) {
			out = append(out, fmt.Sprintf("%s: %s", o.VM, o.What))
		}
	}
	return out
}

// end ends all processes and stand-ins.
func (f *fleet) end() []error {
	for _, p := range f.processes {
		p.end()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.running.Wait()
	return f.errors
}

// inject brings a fault about and takes it back after its time.
func (f *fleet) inject(ctx context.Context, v Fault) {
	span := time.Duration(v.For)
	during := func(faults instance.Faults) {
		u := f.upstreams[v.On]
		u.SetFaults(faults)
		_ = chestnutcleat.Sleep(ctx, span)
		u.SetFaults(instance.Faults{})
	}
	platform := func(faults store.Faults) {
		f.platform.SetFaults(faults)
		_ = chestnutcleat.Sleep(ctx, span)
		f.platform.SetFaults(store.Faults{})
	}
	switch v.Kind {
	case Kill:
		f.processes[v.On].signal(syscall.SIGKILL)
	case Stop:
		f.processes[v.On].signal(syscall.SIGTERM)
	case Reload:
		f.processes[v.On].signal(syscall.SIGHUP)
	case Pause:
		f.processes[v.On].signal(syscall.SIGSTOP)
		_ = chestnutcleat.Sleep(ctx, span)
		f.processes[v.On].signal(syscall.SIGCONT)
	case KillAll:
		for _, p := range f.processes {
			p.signal(syscall.SIGKILL)
		}
	case Wipe:
		f.processes[v.On].empty()
	case PlatformDown:
		platform(store.Faults{Status: http.StatusServiceUnavailable})
	case PlatformLost:
		platform(store.Faults{Lost: true})
	case PlatformDeaf:
		platform(store.Faults{Deaf: true})
	case Compact:
		f.platform.Compact()
	case Errors:
		during(instance.Faults{Errors: 0.5})
	case Lose:
		during(instance.Faults{Lost: 0.3})
	case Twice:
		during(instance.Faults{Twice: 0.5})
	case Slow:
		during(instance.Faults{Slow: 120 * time.Millisecond})
	case Change:
		f.configure(func(s *instance.Sample) { s.Timeout = deadline + span })
	case Withdraw:
		f.configure(func(s *instance.Sample) { s.Withdrawn = true })
		_ = chestnutcleat.Sleep(ctx, span)
		f.configure(func(s *instance.Sample) { s.Withdrawn = false })
	case Leave:
		u := f.upstreams[v.On]
		f.enter(u, instance.StateDraining)
		_ = chestnutcleat.Sleep(ctx, span)
		f.enter(u, instance.StateReady)
	case Vanish:
		f.upstreams[v.On].link.vanish(span)
	case Mute:
		f.upstreams[v.On].link.mute(span)
	}
}
