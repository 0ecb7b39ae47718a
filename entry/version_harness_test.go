package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/pipe"
)

// versionHarness is a harness whose instances are stand-ins of several software versions, and several entry VMs.
type versionHarness struct {
	*harness
	is       *is.I
	replicas chestnutcleat.ReplicaSet
	servers  map[chestnutcleat.Address]*instance.Server
	list     []chestnutcleat.Instance
	log      instance.Log
	vms      []*versionVM
}

// versionVM is an entry VM with its own memory.
type versionVM struct {
	handler *Handler
	events  *eventLog
	server  *http.Server
	client  *http.Client
	cancel  context.CancelFunc
}

// eventLog keeps the reasons of refused take-ups and the evidence of those that went on.
type eventLog struct {
	mu             sync.Mutex
	reasons, found []string
}

// Emit implements chestnutcleat.Observer.
func (l *eventLog) Emit(id chestnutcleat.EventID, attributes ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i+1 < len(attributes); i += 2 {
		switch {
		case id == event.TakeUpRefused && attributes[i] == "reason":
			l.reasons = append(l.reasons, fmt.Sprint(attributes[i+1]))
		case id == event.StreamTakenUp && attributes[i] == "found":
			l.found = append(l.found, fmt.Sprint(attributes[i+1]))
		}
	}
}

// lastEvents returns the reason of the last refused take-up of all VMs, and how the last one that went on was found.
func (h *versionHarness) lastEvents() (reason, found string) {
	for _, v := range h.vms {
		v.events.mu.Lock()
		defer v.events.mu.Unlock()
		if n := len(v.events.reasons); n > 0 {
			reason = v.events.reasons[n-1]
		}
		if n := len(v.events.found); n > 0 {
			found = v.events.found[n-1]
		}
	}
	return reason, found
}

// expectRefused checks that a take-up was refused truly, for a reason, and that nothing was sent to any instance.
func (h *versionHarness) expectRefused(reason, id string, r reply) {
	h.t.Helper()
	h.is.Equal(r.code, string(chestnutcleat.CodeCannotResume))
	h.is.Equal(r.status, 503)
	h.is.Equal(r.code, string(chestnutcleat.CodeCannotResume))
	h.is.True(r.retry != "")
	h.is.Equal(len(h.log.Runs(id)), 0)
	got, _ := h.lastEvents()
	h.is.Equal(got, reason)
}

// expectRest checks that a take-up brought the rest of a stream after an event, of the given software version.
func (h *versionHarness) expectRest(r reply, version string, last int) {
	h.t.Helper()
	h.is.Equal(r.status, 200)
	h.is.True(r.complete)
	h.is.Equal(r.versions, []string{version})
	h.is.Equal(r.ids[0], last+1)
}

// runVersions runs a test with the given number of VMs in a synctest bubble. The instances are given as id and version.
func runVersions(t *testing.T, vms int, instances [][2]string, f func(h *versionHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &versionHarness{harness: newHarness(t, respondOK), is: is.New(t), servers: map[chestnutcleat.Address]*instance.Server{}}
		h.replicas = h.handler.Ledger.ReplicaSet()
		for _, v := range instances {
			h.add(v[0], v[1])
		}
		for range vms {
			h.startVM()
		}
		h.await()
		defer func() {
			for _, v := range h.vms {
				v.stop()
			}
			h.close()
			synctest.Wait()
		}()
		f(h)
	})
}

// await lets the VMs learn the replica set.
func (h *versionHarness) await() { time.Sleep(50 * time.Millisecond) }

// add starts an instance and registers it at all VMs.
func (h *versionHarness) add(id, version string) { h.addTo("model", id, version) }

func (h *versionHarness) addTo(service chestnutcleat.ServiceName, id, version string) {
	s := &instance.Server{ID: id, Log: &h.log}
	s.SetVersion(version)
	h.servers[chestnutcleat.Address(id)] = s
	h.list = append(h.list, chestnutcleat.Instance{
		ID: chestnutcleat.InstanceID(id), Service: service, Address: chestnutcleat.Address(id), Slots: 6, Version: chestnutcleat.SoftwareVersion(version),
	})
	h.register()
}

// remove removes the registration of an instance, which continues to serve.
func (h *versionHarness) remove(id string) {
	h.list = slices.DeleteFunc(slices.Clone(h.list), func(i chestnutcleat.Instance) bool { return string(i.ID) == id })
	h.register()
}

func (h *versionHarness) register() {
	for _, v := range h.vms {
		v.handler.Instances.SetInstances(h.list)
	}
}

// setFaults injects the same faults at all instances.
func (h *versionHarness) setFaults(f instance.Faults) {
	for _, s := range h.servers {
		s.SetFaults(f)
	}
}

// startVM starts an entry VM that knows nothing but the registrations and the replica set.
func (h *versionHarness) startVM() *versionVM {
	ctx, cancel := context.WithCancel(h.t.Context())
	table := place.NewTable()
	table.SetInstances(h.list)
	pool := exchange.NewPool(net.KeepAliveConfig{})
	pool.Dial = h.dial
	client := &ledger.Client{Peers: h.appends, Observer: discardObserver{}}
	h.goroutines.Go(func() { _ = client.Run(ctx) })
	rates := rate.NewLimiter("v1", 5*time.Second)
	rates.SetCustomers(h.table.Customers)
	rates.SetVMs([]chestnutcleat.VMID{"v1"})
	events := &eventLog{}
	v := &versionVM{cancel: cancel, events: events, handler: &Handler{
		Codec: platform.Codec{}, Config: h.handler.Config, Instances: table, Pool: pool, Rates: rates, Ledger: client, Crashes: &CrashTracker{},
		Observer: events, Metrics: &Metrics{Set: metrics.NewSet()}, Memory: &memory.Budget{Limit: 1 << 20},
	}}
	v.server, v.client = h.serve(v.handler)
	time.Sleep(10 * time.Millisecond)
	client.SetReplicaSet(h.replicas)
	h.vms = append(h.vms, v)
	return v
}

func (v *versionVM) stop() {
	v.client.CloseIdleConnections()
	v.server.Close()
	v.handler.Pool.Close()
	v.cancel()
}

// restartVMs replaces all VMs by new ones that have lost their memory.
func (h *versionHarness) restartVMs() {
	n := len(h.vms)
	for _, v := range h.vms {
		v.stop()
	}
	h.vms = nil
	for range n {
		h.startVM()
	}
	h.await()
}

// restartVM replaces one VM by a new one that has lost its memory.
func (h *versionHarness) restartVM(i int) {
	h.vms[i].stop()
	v := h.startVM()
	h.vms[i] = v
	h.vms = h.vms[:len(h.vms)-1]
	h.await()
}

// dial connects to a stand-in, each connection with a server of its own.
func (h *versionHarness) dial(ctx context.Context, a chestnutcleat.Address) (net.Conn, error) {
	s := h.servers[a]
	if s == nil {
		return nil, fmt.Errorf("no instance at %s", a)
	}
	l := pipe.Listen()
	web := &http.Server{Handler: s, ConnState: func(_ net.Conn, c http.ConnState) {
		if c == http.StateClosed {
			_ = l.Close()
		}
	}}
	go func() { _ = web.Serve(l) }()
	return l.Dial(context.WithoutCancel(ctx))
}
