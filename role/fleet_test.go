package role_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/role"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/loopback"
	"chestnutcleat.example/chestnutcleat/standin/program"
	"chestnutcleat.example/chestnutcleat/standin/store"
)

// waitTimeout bounds each wait for a state; the wait ends as soon as the state is reached.
const waitTimeout = 20 * time.Second

// grace is the shortest grace period, in seconds, in which a VM serves on for as long as callers may have its address: their time to live
// and the 0.3 s in which the other VMs hear of the shutdown, before the last 3.5 s.
const grace = 4.8

type discardObserver struct{}

func (discardObserver) Emit(chestnutcleat.EventID, ...any) {}

// fleet runs a platform, instances, one storage VM and some entry VMs over real sockets, as separate processes would.
type fleet struct {
	t        *testing.T
	platform *store.Store
	entries  []*entry
}

// entry is a running entry VM.
type entry struct {
	settings settings.Role
	stop     chan struct{}
	ended    chan error
}

// reserveAddresses returns a free port for messages between VMs and free addresses for the rest. Settings need fixed ports, because VMs
// tell their addresses to each other and to callers.
func reserveAddresses(t *testing.T, ip string) (port int, listen settings.Listen) {
	t.Helper()
	a, err := loopback.Reserve(ip, 4)
	if err != nil {
		t.Fatal(err)
	}
	if port, err = loopback.Port(a[0]); err != nil {
		t.Fatal(err)
	}
	return port, settings.Listen{Callers: a[1], Ready: a[2], Registry: a[3]}
}

// newFleet starts a fleet after prepare has changed its platform.
func newFleet(t *testing.T, entries int, serve http.HandlerFunc, prepare ...func(*store.Store)) *fleet {
	f := &fleet{t: t, platform: store.New()}
	platform := httptest.NewServer(f.platform.Handler())
	t.Cleanup(platform.Close)
	for i := range 2 {
		s := httptest.NewServer(serve)
		t.Cleanup(s.Close)
		f.platform.Set("servers", fmt.Sprint("i-", i), map[string]any{
			"service": "tool", "address": strings.TrimPrefix(s.URL, "http://"), "zone": "a", "version": "v1", "slots": 32, "state": "ready", "born": 1,
		})
	}
	f.platform.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "check", "host": "h", "path_prefix": "/check/", "type": "idempotent", "timeout_ms": 5000, "target_latency_ms": 1000,
			"service": "tool", "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "tool"}},
		"tenants":  []any{map[string]any{"name": "c", "api_keys": []string{"key"}}},
	})
	for _, p := range prepare {
		p(f.platform)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	count := 0
	// vmSettings returns the settings of a new VM with an IP address of its own.
	vmSettings := func(id, kind string) settings.Role {
		count++
		ip := loopback.IP(count)
		port, listen := reserveAddresses(t, ip)
		return settings.Role{
			VM: chestnutcleat.VMID(id), Role: kind, Domain: "a", Region: "r", IP: ip, Ports: []int{port, port}, Listen: listen,
			Platform: chestnutcleat.Address(strings.TrimPrefix(platform.URL, "http://")), MemoryMB: 64, Grace: grace, MaxAddressTTL: addressTTL.Seconds(), ApplyMS: 2000, DrainMS: 2000, RateWindow: 5,
		}
	}
	s := vmSettings("s1", settings.RoleStore)
	s.Listen, s.DataFolder = settings.Listen{}, t.TempDir()
	running.Go(func() {
		p := role.Store{Stop: make(chan struct{})}
		p.Settings, p.Observer = s, discardObserver{}
		if err := p.Run(ctx); err != nil {
			t.Errorf("storage VM: %v", err)
		}
	})
	for i := range entries {
		e := &entry{settings: vmSettings(fmt.Sprint("e", i), settings.RoleEntry), stop: make(chan struct{}), ended: make(chan error, 1)}
		f.entries = append(f.entries, e)
		running.Go(func() { e.run(ctx) })
	}
	for _, e := range f.entries {
		f.eventually("every VM lists all entry VMs", func() bool { return len(e.addresses()) == entries })
	}
	return f
}

// run runs the VM until ctx is done or it is stopped.
func (e *entry) run(ctx context.Context) {
	p := role.Entry{Stop: e.stop}
	p.Settings, p.Observer = e.settings, discardObserver{}
	e.ended <- p.Run(ctx)
}

// newRequest returns a request of the fleet's customer to a VM.
func newRequest(ctx context.Context, address, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/check/x", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Chestnutcleat-Request-Id", id)
	return req, nil
}

func (f *fleet) eventually(what string, reached func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// addresses asks the VM where to connect; it returns none if the VM doesn't answer.
func (e *entry) addresses() []string {
	return program.Resolve(context.Background(), http.DefaultClient, string(e.settings.Listen.Registry), "h", "r", "a")
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + string(e.settings.Listen.Ready) + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer echoes the request as a complete and signed answer of an instance.
func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Chestnutcleat-Request-Id", r.Header.Get("Chestnutcleat-Request-Id"))
	w.Header().Set("Chestnutcleat-Server-Seal", "seal")
	_, _ = io.Copy(w, r.Body)
}

// addressTTL is how long callers use a list of addresses.
const addressTTL = time.Second

// caller sends requests, and resolves its addresses again when their time to live is over.
type caller struct {
	fleet      *fleet
	client     http.Client
	random     *rand.Rand
	list       []string
	resolvedAt time.Time
}

// newCaller returns a caller whose choices of addresses depend on its number alone.
func newCaller(f *fleet, number int, keepAlive bool) *caller {
	const seed = 1
	return &caller{
		fleet: f, client: http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive}}, random: rand.New(rand.NewPCG(seed, uint64(number))),
	}
}

// resolve asks the VMs in turn where to connect. The time to live counts from the question, as the answer may be read late.
func (c *caller) resolve() {
	for _, e := range c.fleet.entries {
		asked := time.Now()
		if list := e.addresses(); len(list) > 0 {
			c.list, c.resolvedAt = list, asked
			return
		}
	}
}

func (c *caller) expired() bool { return time.Since(c.resolvedAt) > addressTTL }

// send sends one request, and tries another address when a connection is refused.
func (c *caller) send(ctx context.Context, id string) error {
	for end := time.Now().Add(waitTimeout); ctx.Err() == nil; {
		if len(c.list) == 0 || c.expired() {
			c.resolve()
		}
		if len(c.list) == 0 {
			if time.Now().After(end) {
				return fmt.Errorf("no VM says within %v where to connect", waitTimeout)
			}
			continue
		}
		req, err := newRequest(ctx, c.list[c.random.IntN(len(c.list))], id, id)
		if err != nil {
			return err
		}
		resp, err := c.client.Do(req)
		if isRefused(err) {
			c.list = nil
			continue
		}
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && isLeaving(resp, body) && c.expired() {
			// The list expired on the way, so the VM need not have served the request any more.
			c.list = nil
			continue
		}
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != id {
			return fmt.Errorf("status %d, body %q, error %v, %v after the address was resolved", resp.StatusCode, body, err, time.Since(c.resolvedAt))
		}
		return nil
	}
	return ctx.Err()
}

// isLeaving reports whether a VM refused a request as it shuts down, and said that nothing ran and when to come back.
func isLeaving(resp *http.Response, body []byte) bool {
	var p chestnutcleat.Problem
	if resp.StatusCode != http.StatusServiceUnavailable || json.Unmarshal(body, &p) != nil {
		return false
	}
	return p.Code == chestnutcleat.CodeLeaving && p.Outcome == chestnutcleat.NotRun && resp.Header.Get("Retry-After") != ""
}

func isRefused(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connect: connection refused")
}

// A VM that shuts down must say so at once, answer every request that it accepted, and exit without an error. Callers must get
// no errors, whether they reuse connections or open new ones.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		answer(w, r)
	})
	var stopped atomic.Bool
	var sent atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		c := newCaller(f, i, i%4 == 0)
		callers.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				if err := c.send(t.Context(), fmt.Sprintf("r%d-%d", i, n)); err != nil {
					t.Errorf("request %d of caller %d: %v", n, i, err)
				}
				sent.Add(1)
			}
			c.client.CloseIdleConnections()
		})
	}
	f.eventually("400 requests were sent", func() bool { return sent.Load() > 400 })
	leaving, staying := f.entries[0], f.entries[1]
	is.True(leaving.ready())
	close(leaving.stop)
	f.eventually("the leaving VM is not ready", func() bool { return !leaving.ready() })
	f.eventually("the leaving VM is not listed", func() bool {
		return len(staying.addresses()) == 1 && staying.addresses()[0] == string(staying.settings.Listen.Callers)
	})
	is.NoErr(<-leaving.ended)
	before := sent.Load()
	f.eventually("400 more requests were sent", func() bool { return sent.Load() > before+400 })
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d requests", sent.Load())
}
