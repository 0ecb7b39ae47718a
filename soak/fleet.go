package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/role"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/loopback"
	"chestnutcleat.example/chestnutcleat/standin/store"
)

const (
	defaultEntryCount, storeCount, toolCount, modelCount = 4, 3, 3, 4
	// versionCount is the number of software versions of each service.
	versionCount = 2

	internalPort, callersPort, readyPort, registryPort, metricsPort = 7780, 8368, 8369, 8360, 9464
	// processMemoryMB is the memory limit of each process, and graceSeconds the time that a graceful shutdown may take.
	processMemoryMB = 128
	graceSeconds    = 6
)

// domainCount is the number of failure domains.
const domainCount = 2

func numberedNames(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i+1))
	}
	return list
}

// names returns the names of the VMs and instances.
func (s Size) names() memberNames {
	return memberNames{
		entries: numberedNames("entry-", cmp.Or(s.Entries, defaultEntryCount)), stores: numberedNames("store-", storeCount),
		instances: append(numberedNames(instance.ServiceTool+"-", toolCount), numberedNames(instance.ServiceModel+"-", modelCount)...),
	}
}

// standinInstance is a stand-in for an upstream's instance, behind a listener that injects connection faults.
type standinInstance struct {
	*instance.Server
	listener *faultyListener
	// domain and startedAt are part of the instance's registration at the platform; startedAt is in Unix milliseconds.
	domain    string
	startedAt int64
}

// fleet holds the processes and stand-ins of a run.
type fleet struct {
	names            memberNames
	log              *instance.Log
	platform         *store.Store
	processes        map[string]*process
	standinInstances map[string]*standinInstance
	servers          []*http.Server
	goroutines       sync.WaitGroup
	// registries are the addresses at which callers look up VMs.
	registries []string

	mu     sync.Mutex
	errors []error
	// config is the current configuration.
	config instance.Sample
}

// spareStore is the name of the storage VM that plans with Spare add. No fault acts on it.
const spareStore = "store-spare"

// newFleet starts the stand-ins and the VMs' processes; the processes' files are in dir, the storage VMs' disks in another folder.
func newFleet(binary, dir, disks string, plan *Plan) (*fleet, error) {
	names := plan.names()
	f := &fleet{
		names: names, log: &instance.Log{}, platform: store.New(), config: instance.Sample{Timeout: requestTimeout, ExtraRoutes: plan.Routes},
		processes: map[string]*process{}, standinInstances: map[string]*standinInstance{},
	}
	platform, err := f.serveStandin(f.platform.Handler())
	if err != nil {
		return nil, err
	}
	for i, id := range names.instances {
		if err := f.addInstance(id, domain(i)); err != nil {
			return nil, err
		}
	}
	f.updateConfig(func(*instance.Sample) {})
	if plan.Spare {
		names.stores = append(names.stores, spareStore)
	}
	for i, id := range slices.Concat(names.entries, names.stores) {
		kind := settings.RoleEntry
		if i >= len(names.entries) {
			kind = settings.RoleStore
		}
		if err := f.addProcess(binary, dir, vmSettings(id, kind, i, platform.Addr().String(), disks)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// softwareVersion returns the software version of instance i. The versions of each service run side by side.
func softwareVersion(i int) string { return fmt.Sprint("v", 1+i/domainCount%versionCount) }

func domain(i int) string { return fmt.Sprint("domain-", i%domainCount) }

// serveStandin serves the handler of a stand-in.
func (f *fleet) serveStandin(h http.Handler) (*faultyListener, error) {
	l, err := newFaultyListener()
	if err != nil {
		return nil, fmt.Errorf("listen for a stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.goroutines.Go(func() { _ = s.Serve(l) })
	return l, nil
}

func (f *fleet) addInstance(id, domain string) error {
	inst := &standinInstance{Server: &instance.Server{ID: id, Log: f.log}, domain: domain, startedAt: time.Now().UnixMilli()}
	inst.SetStart(inst.startedAt)
	var err error
	if inst.listener, err = f.serveStandin(inst.Server); err != nil {
		return err
	}
	inst.SetVersion(softwareVersion(len(f.standinInstances)))
	f.standinInstances[id] = inst
	f.register(inst, instance.StateReady)
	return nil
}

// register writes an instance's registration to the platform.
func (f *fleet) register(inst *standinInstance, state string) {
	service, _, _ := strings.Cut(inst.ID, "-")
	address := inst.listener.Addr().String()
	f.platform.Set("servers", inst.ID, instance.Registration(service, inst.Version(), address, inst.domain, state, inst.startedAt))
}

// updateConfig changes the configuration at the platform, as an operator does.
func (f *fleet) updateConfig(change func(*instance.Sample)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.config)
	f.config.Version++
	f.platform.Set("config", "main", f.config.Configuration())
}

// vmSettings returns the settings of a VM. Each VM has its own loopback address, so that all use the same ports.
func vmSettings(id, kind string, i int, platform, disks string) settings.Role {
	ip := loopback.IP(i + 1)
	address := func(port int) chestnutcleat.Address {
		return chestnutcleat.Address(net.JoinHostPort(ip, fmt.Sprint(port)))
	}
	s := settings.Role{
		VM: chestnutcleat.VMID(id), Role: kind, Domain: chestnutcleat.FailureDomain(domain(i)), Region: "region",
		IP: ip, Ports: []int{internalPort, internalPort}, Platform: chestnutcleat.Address(platform), Tolerance: 1,
		MemoryMB: processMemoryMB, Grace: graceSeconds, MaxAddressTTL: 1, ApplyMS: int(maxApplyDelay.Milliseconds()), DrainMS: int(maxDrainDelay.Milliseconds()),
		RateWindow: rateWindow.Seconds(), Overage: rateOverage, MetricsPort: metricsPort,
	}
	if kind == settings.RoleEntry {
		s.Listen = settings.Listen{Callers: address(callersPort), Ready: address(readyPort), Registry: address(registryPort)}
	} else {
		s.DataFolder = filepath.Join(disks, id+".disk")
	}
	return s
}

func (f *fleet) addProcess(binary, dir string, s settings.Role) error {
	if s.DataFolder != "" {
		if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
			return fmt.Errorf("create disk folder of %s: %w", s.VM, err)
		}
	} else {
		f.registries = append(f.registries, string(s.Listen.Registry))
	}
	p, err := newProcess(binary, dir, s)
	if err != nil {
		return err
	}
	f.processes[string(s.VM)] = p
	f.goroutines.Go(func() {
		if err := p.run(); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.errors = append(f.errors, err)
		}
	})
	return nil
}

// outliers returns the VMs whose state differs from most VMs of their role.
func (f *fleet) outliers(ctx context.Context) []string {
	var out []string
	for _, id := range []string{f.names.entries[0], f.names.stores[0]} {
		a := net.JoinHostPort(f.processes[id].settings.IP, fmt.Sprint(metricsPort))
		answers, err := role.Survey(ctx, chestnutcleat.Address(a))
		if err != nil {
			out = append(out, fmt.Sprintf("%s: query its state: %v", id, err))
		}
		for _, o := range role.Outliers(answers) {
			out = append(out, fmt.Sprintf("%s: %s", o.VM, o.Difference))
		}
	}
	return out
}

// peakMemoryMetric is the metric of a process's peak resident memory in bytes, with the space before its value.
const peakMemoryMetric = "process_resident_memory_peak_bytes "

// overMemory returns the VMs whose process has taken more memory than its settings allow.
func (f *fleet) overMemory(ctx context.Context) []string {
	var out []string
	for id, p := range f.processes {
		peak, err := p.peakMemory(ctx)
		if err != nil {
			out = append(out, fmt.Sprintf("%s: query its memory: %v", id, err))
		}
		if limit := int64(p.settings.MemoryMB) << 20; peak > limit {
			out = append(out, fmt.Sprintf("%s took %d bytes of memory, its limit is %d", id, peak, limit))
		}
	}
	return out
}

// stop ends all processes and stand-ins and returns the errors of the processes.
func (f *fleet) stop() []error {
	for _, p := range f.processes {
		p.stop()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.goroutines.Wait()
	return f.errors
}
