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
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/event"
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

// last returns the reason of the last refused take-up of all VMs, and how the last one that went on was found.
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

// stream sends a request for a stream to a VM. Its headers are given as pairs of name and value; a value
// may be several, separated by bars.
func (h *versionHarness) stream(vm int, path, id string, pairs ...string) reply {
	ctx, cancel := context.WithTimeout(h.t.Context(), 10*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(instance.StreamName(path, id)))
	h.is.NoErr(err)
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", id)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Header[pairs[i]] = strings.Split(pairs[i+1], "|")
		}
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
func (h *versionHarness) takeUp(vm int, id, resumes string, last int, pairs ...string) reply {
	return h.stream(vm, once, id, append([]string{"Last-Event-Id", strconv.Itoa(last), "Resumes", resumes}, pairs...)...)
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
			h.expectRest(h.takeUp((n+1)%3, attemptID(id, 1), id, 2), version, 2)
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
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 1), streamID(n), 2), version, 2)
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
		again := attemptID(streamID(0), 1)
		h.expectRefused("instances", again, h.takeUp(1, again, streamID(0), 2))
	})
}

// Only an attempt of the same customer that is on record says which software version began a stream. Whatever else a caller names must be
// refused while two versions are registered, not joined.
func TestResumes(t *testing.T) {
	const other = "key of d"
	for name, c := range map[string]struct {
		resumes func(id string) string
		key     string
		refused string
	}{
		"original":       {func(id string) string { return id }, "", ""},
		"other customer": {func(id string) string { return id }, other, "unknown"},
		"unknown":        {func(string) string { return "nobody" }, "", "unknown"},
		"itself":         {func(id string) string { return attemptID(id, 1) }, "", "unknown"},
		"absent":         {func(string) string { return "" }, "", "unknown"},
		"repeated":       {func(id string) string { return id + "|" + id }, "", "unknown"},
		"two":            {func(id string) string { return id + "|nobody" }, "", "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, 2, twoVersions, func(h *versionHarness) {
				for n := range 4 {
					id := streamID(n)
					version := h.begin(0, id)
					var pairs []string
					if c.key != "" {
						pairs = []string{"Authorization", "Bearer " + c.key}
					}
					r := h.takeUp(1, attemptID(id, 1), c.resumes(id), 2, pairs...)
					if c.refused != "" {
						h.expectRefused(c.refused, attemptID(id, 1), r)
						continue
					}
					h.expectRest(r, version, 2)
				}
			})
		})
	}
}

// A caller may take up a take-up that broke off as well, by the name of either attempt.
func TestTakeUpOfTakeUp(t *testing.T) {
	runVersions(t, 3, twoVersions, func(h *versionHarness) {
		for n := range 8 {
			id := streamID(n)
			version := h.begin(0, id)
			h.setFaults(instance.Faults{BreakAfter: 1})
			r := h.takeUp(1, attemptID(id, 1), id, 2)
			h.setFaults(instance.Faults{})
			h.is.Equal(r.versions, []string{version})
			h.is.Equal(r.last(), 3)
			h.expectRest(h.takeUp(2, attemptID(id, 2), attemptID(id, n%2), 3), version, 3)
		}
	})
}

// A service that was drawn by weight must go on with its own streams, also where versions have the same name, and a stream whose service
// the route no longer leads to must not go on at all.
func TestTakeUpOfSplitService(t *testing.T) {
	runVersions(t, 2, twoVersions[:3], func(h *versionHarness) {
		h.addTo("other", "c1", "v1")
		split := func(model, other int) {
			list := routes()
			for i := range list {
				if list[i].Name == "once" {
					list[i].Targets = []config.Target{{Service: "model", Weight: model}, {Service: "other", Weight: other}}
				}
			}
			h.table = config.NewTable(config.Config{Routes: list, Customers: h.table.Customers})
		}
		split(1, 1)
		at := func(id string) string { return h.log.Runs(id)[0].Instance }
		began := map[bool]int{}
		for n := range 16 {
			id := streamID(n)
			h.begin(0, id)
			h.is.True(h.takeUp(1, attemptID(id, 1), id, 2).complete)
			h.is.Equal(at(id) == "c1", at(attemptID(id, 1)) == "c1")
			began[at(id) == "c1"]++
		}
		h.is.True(began[true] > 0 && began[false] > 0)
		split(0, 1)
		id := streamID(20)
		h.begin(0, id)
		split(1, 0)
		h.expectRefused("service", attemptID(id, 1), h.takeUp(1, attemptID(id, 1), id, 2))
	})
}

// An instance whose registration gets another version while it is asked must begin no stream: the record would name the version of
// before.
func TestRegistrationChangesWhileAsked(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		h.add("b1", "v2")
		changed := slices.Clone(h.list)
		changed[0].Version = "v2"
		h.remove("b1")
		h.setFaults(instance.Faults{Delay: 100 * time.Millisecond, BreakAfter: 2})
		time.AfterFunc(50*time.Millisecond, func() { h.vms[0].handler.Instances.SetInstances(changed) })
		id := streamID(0)
		r := h.stream(0, moves, id)
		h.is.Equal(r.versions, []string{"v2"}) // the other instance began
		h.is.Equal(len(h.log.Runs(id)), 2)
		h.setFaults(instance.Faults{})
		h.list = changed[1:]
		h.register()
		h.expectRest(h.takeUp(1, attemptID(id, 1), id, r.last()), "v2", r.last())
	})
}

// Where an instance fails before its first event and one of another version begins the stream, that one must be on record.
func TestLaterTryIsRecorded(t *testing.T) {
	runVersions(t, 2, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
		later := 0
		for n := range 12 {
			id := streamID(n)
			h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1})
			h.servers["b1"].SetFaults(instance.Faults{BreakAfter: 2})
			r := h.stream(0, moves, id)
			h.setFaults(instance.Faults{})
			h.is.Equal(r.status, 200)
			h.is.Equal(r.versions, []string{"v2"})
			if len(h.log.Runs(id)) > 1 && h.log.Runs(id)[0].Version == "v1" {
				later++
			}
			h.expectRest(h.takeUp(1, attemptID(id, 1), id, r.last()), "v2", r.last())
		}
		h.is.True(later > 0)
	})
}

// Without a quorum of replicas a stream is still served, but it must not be joined afterwards: its version can't be read.
func TestTakeUpWithoutQuorum(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		known := streamID(0)
		version := h.begin(0, known)
		h.network.Detach("store")
		h.expectRefused("unreadable", attemptID(known, 1), h.takeUp(1, attemptID(known, 1), known, 2))
		start := time.Now()
		unrecorded := streamID(1)
		h.begin(0, unrecorded)
		h.is.True(time.Since(start) < time.Second)
		h.expectRefused("unreadable", attemptID(unrecorded, 1), h.takeUp(1, attemptID(unrecorded, 1), unrecorded, 2))
		h.expectRefused("unreadable", attemptID(unrecorded, 2), h.takeUp(0, attemptID(unrecorded, 2), "", 2))
		time.Sleep(6 * time.Second) // writes are given up after 5 s
		h.network.Attach("store", h.mux)
		time.Sleep(time.Second)
		h.expectRefused("unknown", attemptID(unrecorded, 3), h.takeUp(1, attemptID(unrecorded, 3), unrecorded, 2))
		h.expectRest(h.takeUp(1, attemptID(known, 2), known, 2), version, 2)
	})
}

// A stream that no record names may go on while its service has had a single version for as long as records last, and not just after a
// start or a change of versions.
func TestTakeUpByRegistrations(t *testing.T) {
	const long = streamTimeout + recordMargin
	runVersions(t, 1, twoVersions[:1], func(h *versionHarness) {
		n := 0
		takeUp := func() (id string, r reply) {
			n++
			id = streamID(n)
			return id, h.takeUp(0, id, "nobody", 2)
		}
		id, r := takeUp()
		h.expectRefused("unknown", id, r) // just after the start
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
		_, found := h.lastEvents()
		h.is.Equal(found, "registrations")
		time.Sleep(long + 5*time.Second) // the record of this take-up has expired
		h.vms[0].handler.Instances.RestartVersionHistory()
		id, r = takeUp()
		h.expectRefused("unknown", id, r) // registrations may have been missed
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
		time.Sleep(long + 5*time.Second)
		h.add("b1", "v2")
		h.remove("b1")
		id, r = takeUp()
		h.expectRefused("unknown", id, r) // another version was there
		time.Sleep(long + time.Second)
		h.table = configuration("key")
		id, r = takeUp()
		h.expectRefused("unknown", id, r) // the route may have led elsewhere
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
	})
}

// All VMs may come back while the platform is down: without registrations nothing goes on, and with them each stream at its version.
func TestTakeUpAfterRestartWithoutPlatform(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		id := streamID(0)
		version := h.begin(0, id)
		list := h.list
		h.list = nil
		h.restartVMs()
		h.expectRefused("instances", attemptID(id, 1), h.takeUp(0, attemptID(id, 1), id, 2))
		h.list = list
		h.register()
		h.expectRest(h.takeUp(1, attemptID(id, 2), id, 2), version, 2)
	})
}

// Instances that are leaving must not get take-ups, which would be cut again.
func TestTakeUpAvoidsLeavingInstance(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		id := streamID(0)
		h.begin(0, id)
		h.list = slices.Clone(h.list)
		h.list[0].Leaving = true
		h.register()
		h.expectRefused("instances", attemptID(id, 1), h.takeUp(1, attemptID(id, 1), id, 2))
	})
}

// The origin of a stream must pass to the replicas of a set that changed between its begin and its take-up.
func TestTakeUpAfterReplicaSetChange(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		versions := map[int]string{}
		for n := range 4 {
			versions[n] = h.begin(0, streamID(n))
		}
		before := h.replicas
		ctx, cancel := context.WithCancel(h.t.Context())
		defer cancel()
		next, store := h.startReplicaAt(ctx, "store2")
		joint := chestnutcleat.ReplicaSet{Version: before.Version + 1, Disks: before.Disks, NextDisks: next.Disks}
		for _, v := range h.vms {
			v.handler.Ledger.SetReplicaSet(joint)
		}
		h.expectRest(h.takeUp(1, attemptID(streamID(0), 1), streamID(0), 2), versions[0], 2) // before the next replica has copied
		h.is.NoErr(store.Join(ctx, next.Disks[0], joint))
		h.expectRest(h.takeUp(1, attemptID(streamID(1), 1), streamID(1), 2), versions[1], 2)
		versions[4] = h.begin(0, streamID(4))
		h.replicas = chestnutcleat.ReplicaSet{Version: joint.Version + 1, Disks: next.Disks}
		h.is.NoErr(store.Adopt(ctx, h.replicas))
		h.network.Detach("store")
		h.restartVMs()
		for n, version := range versions {
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 2), streamID(n), 2), version, 2)
		}
	})
}

// A refused take-up must not use up its customer's rate: nothing ran.
func TestRefusedTakeUpReturnsItsToken(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		busy := []string{"Authorization", "Bearer key of busy"}
		time.Sleep(10 * time.Second) // the limit of the customer is available: 6 in 5 s
		for n := 1; n <= 20; n++ {
			h.expectRefused("unknown", attemptID(streamID(0), n), h.takeUp(0, attemptID(streamID(0), n), "nobody", 2, busy...))
		}
		for n := range 6 {
			h.is.Equal(h.stream(0, once, streamID(n), busy...).status, 200)
		}
		h.is.Equal(h.stream(0, once, streamID(6), busy...).status, 429)
	})
}

// A kept turn must have its whole output. One that goes on within its response does; of one that its caller takes up only a part would
// be stored, so it is refused.
func TestKeptStreamThatResumes(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		list := routes()
		for i := range list {
			if list[i].Name == "once" {
				list[i].Retained, list[i].Retention, list[i].MaxAttempts = true, time.Minute, 2
			}
		}
		h.table = config.NewTable(config.Config{Routes: list, Customers: h.table.Customers})
		id := streamID(0)
		broken := 0
		for _, s := range h.servers {
			if broken++; broken%2 == 0 {
				s.SetFaults(instance.Faults{BreakAfter: 2})
			}
		}
		r := h.stream(0, once, id)
		h.is.Equal(len(r.versions), 1)
		h.setFaults(instance.Faults{})
		if r.complete {
			h.is.True(h.stream(0, once, streamID(1), "Chestnutcleat-Previous-Turn", id).complete)
			name := instance.StreamName(once, id)
			h.is.Equal(h.log.Runs(streamID(1))[0].Body, name+instance.Output(name, r.versions[0])+instance.StreamName(once, streamID(1)))
		}
		h.expectRefused("route", attemptID(streamID(2), 1), h.takeUp(0, attemptID(streamID(2), 1), id, 2))
	})
}

// The record of a stream's version must cost no append of its own on the path of a turn with a budget.
func TestVersionIsRecordedWithReservation(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		before := h.appends.n.Load()
		r := h.stream(0, moves, streamID(0), "Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "1000", "Chestnutcleat-Token-Count", "9,50")
		h.is.True(r.complete)
		time.Sleep(time.Second)
		h.is.Equal(h.appends.n.Load()-before, int32(2)) // the reservation with the version; the settlement
		before = h.appends.n.Load()
		h.is.True(h.stream(0, moves, streamID(1)).complete)
		time.Sleep(time.Second)
		h.is.Equal(h.appends.n.Load()-before, int32(1)) // beside the request
	})
}

// A caller must not have an event of a stream whose version is not on record yet: its take-up would be unknown, or taken for one of an
// earlier try.
func TestFirstEventWaitsForRecord(t *testing.T) {
	t.Run("slow replica", func(t *testing.T) {
		runVersions(t, 1, twoVersions, func(h *versionHarness) {
			const delay = 300 * time.Millisecond
			h.appends.delay.Store(int64(delay))
			start := time.Now()
			h.begin(0, streamID(0))
			h.is.True(time.Since(start) >= delay)
			h.is.True(time.Since(start) < 2*delay) // the instance was asked meanwhile
		})
	})
	t.Run("later try at a slow replica", func(t *testing.T) {
		runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
			// The second append waits for the first, so that it takes longer than the first try of a stream would wait.
			h.appends.delay.Store(int64(400 * time.Millisecond))
			h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1, Delay: 50 * time.Millisecond})
			later := 0
			for n := range 8 {
				start := time.Now()
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(r.versions, []string{"v2"})
				h.is.True(r.complete)
				if h.log.Runs(streamID(n))[0].Version == "v1" {
					later++
					h.is.True(time.Since(start) > recordTimeout)
				}
				time.Sleep(time.Second)
			}
			h.is.True(later > 0)
		})
	})
	t.Run("later try without quorum", func(t *testing.T) {
		runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
			lost := 0
			for n := range 8 {
				id := streamID(n)
				h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1, Delay: 100 * time.Millisecond})
				time.AfterFunc(50*time.Millisecond, func() { h.network.Detach("store") })
				r := h.stream(0, moves, id)
				if runs := h.log.Runs(id); len(runs) > 1 && runs[0].Version == "v1" {
					lost++
					h.is.True(r.status != 200) // the replica has v1 on record
				}
				h.network.Attach("store", h.mux)
				time.Sleep(10 * time.Second)
			}
			h.is.True(lost > 0)
		})
	})
}

// Callers need not name the attempt that they take up. While all streams of the route began at one software version they must go on, also
// right after a loss of all VMs, when no registration was followed for long: all were refused on a day of the bench with a single version.
func TestTakeUpWithoutResumes(t *testing.T) {
	runVersions(t, 2, [][2]string{{"a1", "v1"}, {"a2", "v1"}}, func(h *versionHarness) {
		for n := range 12 {
			h.begin(n%2, streamID(n))
		}
		h.restartVMs()
		for n := range 12 {
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 1), "", 2), "v1", 2)
		}
		_, found := h.lastEvents()
		h.is.Equal(found, "route")
		h.add("b1", "v2")
		id := attemptID(streamID(0), 2)
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // another version is registered
		h.remove("b1")
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // and has just left
		h.restartVMs()
		h.expectRest(h.takeUp(0, attemptID(streamID(0), 3), "", 2), "v1", 2) // it began no stream
		h.remove("a1")
		h.remove("a2")
		h.add("b1", "v2")
		h.begin(0, streamID(13))
		h.restartVMs()
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // streams of both began, one version has left
	})
}
