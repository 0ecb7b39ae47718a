package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
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
	var probes sync.WaitGroup
	for _, id := range f.names.entries {
		proc := f.processes[id]
		now := time.Since(r.start)
		if !proc.steady(steadyUptime) || p.pauses(id, now-steadyUptime, now+probeTimeout) {
			continue
		}
		probes.Go(func() {
			status, err := probe(ctx, proc, path)
			if err == nil && (status == http.StatusNotFound || status == http.StatusUnauthorized) {
				r.addRunViolation(time.Since(r.start), "%s answers %d to %s, a route that was added at %v", id, status, path, added)
			}
		})
	}
	probes.Wait()
}

// probe sends one request to a VM and returns the status of the answer.
func probe(ctx context.Context, p *process, path string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprint("http://", p.settings.Listen.Callers, path), nil)
	if err != nil {
		return 0, err
	}
	q.Host, q.Close = instance.SampleHost, true
	q.Header.Set("Authorization", "Bearer key-"+instance.SampleCustomers[0])
	q.Header.Set("Chestnutcleat-Request-Id", fmt.Sprint("probe-", rand.Uint64()))
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

// steady reports whether the process has run for a time without being told to stop.
func (p *process) steady(uptime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.starts) > 0 && time.Since(p.starts[len(p.starts)-1]) > uptime && p.stoppedAt.IsZero() && !p.killed
}
