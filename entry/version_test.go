package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/standin/instance"
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
	server  *http.Server
	client  *http.Client
	cancel  context.CancelFunc
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
func (h *versionHarness) add(id, version string) {
	s := &instance.Server{ID: id, Log: &h.log}
	s.SetVersion(version)
	h.servers[chestnutcleat.Address(id)] = s
	h.list = append(h.list, chestnutcleat.Instance{
		ID: chestnutcleat.InstanceID(id), Service: "model", Address: chestnutcleat.Address(id), Slots: 6, Version: chestnutcleat.SoftwareVersion(version),
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
	v := &versionVM{cancel: cancel, handler: &Handler{
		Codec: platform.Codec{}, Config: h.handler.Config, Instances: table, Pool: pool, Rates: rates, Ledger: client, Crashes: &CrashTracker{},
		Observer: discardObserver{}, Metrics: &Metrics{Set: metrics.NewSet()}, Memory: &memory.Budget{Limit: 1 << 20},
	}}
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	v.server = &http.Server{Handler: v.handler}
	h.goroutines.Go(func() { _ = v.server.Serve(l) })
	v.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		l.conns <- b
		return a, nil
	}}}
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

// dial connects to a stand-in, each connection with a server of its own.
func (h *versionHarness) dial(_ context.Context, a chestnutcleat.Address) (net.Conn, error) {
	s := h.servers[a]
	if s == nil {
		return nil, fmt.Errorf("no instance at %s", a)
	}
	client, server := net.Pipe()
	conns := make(chan net.Conn, 1)
	conns <- server
	l := &pipeListener{conns: conns, closed: make(chan struct{})}
	web := &http.Server{Handler: s, ConnState: func(_ net.Conn, c http.ConnState) {
		if c == http.StateClosed {
			_ = l.Close()
		}
	}}
	go func() { _ = web.Serve(l) }()
	return client, nil
}

// reply is what a caller got of a stream.
type reply struct {
	status int
	code   string
	retry  string
	// versions are those of the events, without repetition; ids are the ids of the events.
	versions []string
	ids      []int
	complete bool
}

// last returns the id of the last event.
func (r reply) last() int {
	if len(r.ids) == 0 {
		return 0
	}
	return r.ids[len(r.ids)-1]
}

// stream sends a request for a stream to a VM. Its headers are given as pairs of name and value.
func (h *versionHarness) stream(vm int, path, id string, pairs ...string) reply {
	ctx, cancel := context.WithTimeout(h.t.Context(), 10*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(instance.StreamName(path, id)))
	h.is.NoErr(err)
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", id)
	for i := 0; i < len(pairs); i += 2 {
		q.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := h.vms[vm].client.Do(q)
	h.is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, complete: err == nil && resp.StatusCode == 200, retry: resp.Header.Get("Retry-After")}
	if resp.StatusCode != 200 {
		_, code, _ := strings.Cut(string(data), `"code":"`)
		r.code, _, _ = strings.Cut(code, `"`)
		return r
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(text)
			h.is.NoErr(err)
			r.ids = append(r.ids, n)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			r.versions = append(r.versions, instance.EventVersion(text))
		}
	}
	r.versions = slices.Compact(r.versions)
	return r
}

// takeUp takes a stream up again after an event.
func (h *versionHarness) takeUp(vm int, id, resumes string, last int) reply {
	pairs := []string{"Last-Event-Id", strconv.Itoa(last)}
	if resumes != "" {
		pairs = append(pairs, "Resumes", resumes)
	}
	return h.stream(vm, once, id, pairs...)
}

// Paths of streams that can be resumed; those of once have only one attempt for each request.
const (
	moves = instance.PathResumable + "x"
	once  = instance.PathResumable + "once/x"
)

// streamID returns the id of the first attempt of the nth stream of at least three events.
func streamID(n int) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("s", i)
		if instance.EventCount(name) < 5 {
			continue
		}
		if n--; n < 0 {
			return name + "-0"
		}
	}
}

// attemptID returns the id of another attempt at a stream.
func attemptID(id string, n int) string { return strings.TrimSuffix(id, "0") + strconv.Itoa(n) }

var twoVersions = [][2]string{{"a1", "v1"}, {"b1", "v2"}, {"a2", "v1"}, {"b2", "v2"}}

// begin begins a stream that breaks off after two events, and returns its version.
func (h *versionHarness) begin(vm int, id string) string {
	h.t.Helper()
	h.setFaults(instance.Faults{BreakAfter: 2})
	r := h.stream(vm, once, id)
	h.setFaults(instance.Faults{})
	h.is.Equal(r.status, 200)
	h.is.Equal(len(r.versions), 1)
	h.is.Equal(r.last(), 2)
	return r.versions[0]
}

// A stream that broke off must go on within its response only at the software version that began it. Instances of any version
// continued it, and the caller got joined text.
func TestStreamKeepsItsVersion(t *testing.T) {
	t.Run("other version registered", func(t *testing.T) {
		runVersions(t, 1, twoVersions, func(h *versionHarness) {
			for n := range 12 {
				h.setFaults(instance.Faults{BreakAfter: 2})
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(r.status, 200)
				h.is.Equal(len(r.versions), 1)
				h.is.Equal(r.last(), 4) // the other instance of the version went on
			}
		})
	})
	t.Run("no other instance of the version", func(t *testing.T) {
		runVersions(t, 1, twoVersions[:2], func(h *versionHarness) {
			for n := range 6 {
				h.setFaults(instance.Faults{BreakAfter: 2})
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(len(r.versions), 1)
				h.is.Equal(r.last(), 2)
				h.is.True(!r.complete)
			}
		})
	})
}

// A stream that its caller takes up again must go on at the version that began it, at any VM, and all of them must go on while two
// instances of the version serve.
func TestTakeUpKeepsVersion(t *testing.T) {
	runVersions(t, 3, twoVersions, func(h *versionHarness) {
		for n := range 24 {
			id := streamID(n)
			version := h.begin(n%3, id)
			r := h.takeUp((n+1)%3, attemptID(id, 1), id, 2)
			h.is.Equal(r.status, 200)
			h.is.True(r.complete)
			h.is.Equal(r.versions, []string{version})
			h.is.Equal(r.ids[0], 3)
		}
	})
}

// After a loss of all entry VMs at once streams must go on at the version that began them, although no VM remembers it.
func TestTakeUpAfterLossOfAllVMs(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		versions := map[int]string{}
		for n := range 12 {
			versions[n] = h.begin(n%2, streamID(n))
		}
		h.restartVMs()
		for n, version := range versions {
			r := h.takeUp(n%2, attemptID(streamID(n), 1), streamID(n), 2)
			h.is.Equal(r.status, 200)
			h.is.True(r.complete)
			h.is.Equal(r.versions, []string{version})
		}
	})
}

// A stream whose version has left must not go on at another one.
func TestTakeUpOfVersionThatLeft(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		h.begin(0, streamID(0))
		h.add("b1", "v2")
		h.remove("a1")
		h.restartVMs()
		before := len(h.log.All())
		r := h.takeUp(1, attemptID(streamID(0), 1), streamID(0), 2)
		h.is.Equal(r.status, 503)
		h.is.Equal(len(h.log.All()), before) // nothing was sent to any instance
	})
}
