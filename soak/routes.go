package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

const (
	// routesPerChange is the number of routes that AddRoutes adds.
	routesPerChange = 5
	// releaseStream is the stream of random numbers of releases, and releaseInterval the time between the stops of a release.
	releaseStream   = 13
	releaseInterval = 400 * time.Millisecond
	// probeTimeout bounds a probe of one VM.
	probeTimeout = 3 * time.Second
	// steadyUptime is how long a VM's process must have run for its configuration to be checked.
	steadyUptime = 3 * time.Second
)

// release stops entry VMs gracefully, one after the other in a random order, for a duration.
func (f *fleet) release(ctx context.Context, random *rand.Rand, d time.Duration) {
	end := time.Now().Add(d)
	for _, i := range random.Perm(len(f.names.entries)) {
		if !time.Now().Before(end) {
			return
		}
		f.processes[f.names.entries[i]].signal(syscall.SIGTERM)
		_ = chestnutcleat.Sleep(ctx, releaseInterval)
	}
}

// probeRoutes asks, once each added route must be in effect, every entry VM that was in touch for it, as callers of a new route do.
func (f *fleet) probeRoutes(ctx context.Context, r *recorder, p *Plan) {
	routes := p.Routes
	for _, fault := range p.Faults {
		if fault.Kind != AddRoutes {
			continue
		}
		routes += routesPerChange
		due := p.inEffectBy(time.Duration(fault.At), maxApplyDelay) + maxTransitDelay
		if chestnutcleat.Sleep(ctx, due-time.Since(r.start)) != nil {
			return
		}
		f.probeAll(ctx, r, p, instance.ExtraPath(routes-1), time.Duration(fault.At))
	}
}

// probeAll sends a request for an added route to every entry VM.
func (f *fleet) probeAll(ctx context.Context, r *recorder, p *Plan, path string, added time.Duration) {
	// A connection of its own for each probe, as a VM may close idle ones.
	client := program.Client{
		Host: instance.SampleHost, Key: "key-" + instance.SampleCustomers[0], HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var probes sync.WaitGroup
	for _, id := range f.names.entries {
		proc := f.processes[id]
		now := time.Since(r.start)
		if !proc.steady(steadyUptime) || p.pauses(id, now-steadyUptime, now+probeTimeout) {
			continue
		}
		probes.Go(func() {
			q := program.Request{ID: fmt.Sprint("probe-", rand.Uint64()), Path: path, Timeout: probeTimeout}
			a := client.Send(ctx, string(proc.settings.Listen.Callers), &q)
			if a.Status == http.StatusNotFound || a.Status == http.StatusUnauthorized {
				r.addRunViolation(time.Since(r.start), "%s answers %d to %s, a route that was added at %v", id, a.Status, path, added)
			}
		})
	}
	probes.Wait()
}

// steady reports whether the process has run for a time without being told to stop.
func (p *process) steady(uptime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.starts) > 0 && time.Since(p.starts[len(p.starts)-1]) > uptime && p.stoppedAt.IsZero() && !p.killed
}
