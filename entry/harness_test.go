package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/standin/pipe"
	"chestnutcleat.example/chestnutcleat/vm"
)

// receivedRequest is a request that an instance received.
type receivedRequest struct {
	// n is the number of the request among those of all instances, from 1.
	n        int
	instance string
	header   http.Header
	body     string
	// disconnected is set once the connection was closed before the response was complete.
	disconnected atomic.Bool
}

// fakeInstances simulates all instances: handle gets each request and writes the response; keep keeps the connection open.
type fakeInstances struct {
	mu       sync.Mutex
	requests []*receivedRequest
	handle   func(r *receivedRequest, q *http.Request, w io.Writer) (keep bool)
}

func (f *fakeInstances) dial(_ context.Context, a chestnutcleat.Address) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(string(a), server)
	return client, nil
}

func (f *fakeInstances) serve(name string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r := &receivedRequest{instance: name, header: q.Header, body: string(body)}
		f.mu.Lock()
		f.requests = append(f.requests, r)
		r.n = len(f.requests)
		f.mu.Unlock()
		if !f.handle(r, q, c) {
			return
		}
	}
}

func (f *fakeInstances) received() []*receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*receivedRequest{}, f.requests...)
}

// appendCounter counts the appends to the replica, and delays them.
type appendCounter struct {
	chestnutcleat.Peers
	n     atomic.Int32
	delay atomic.Int64
}

func (a *appendCounter) Call(ctx context.Context, to chestnutcleat.Address, m chestnutcleat.Method, request, reply any) error {
	if _, ok := request.(ledger.AppendRequest); ok {
		a.n.Add(1)
		time.Sleep(time.Duration(a.delay.Load()))
	}
	return a.Peers.Call(ctx, to, m, request, reply)
}

// harness is an entry VM with simulated instances, a caller and one replica of the ledger.
type harness struct {
	t         testing.TB
	instances *fakeInstances
	handler   *Handler
	table     *config.Table
	server    *http.Server
	client    *http.Client
	network   *vm.Network
	appends   *appendCounter
	// mux is the replica's, at "store".
	mux        *vm.Mux
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

const sealHeader = "Chestnutcleat-Server-Seal: seal\r\n"

// respond writes a complete response with the request's id.
func respond(q *http.Request, w io.Writer, status int, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nChestnutcleat-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, q.Header.Get("Chestnutcleat-Request-Id"), header, len(body), body)
}

func respondOK(_ *receivedRequest, q *http.Request, w io.Writer) bool {
	respond(q, w, 200, sealHeader, "ok")
	return true
}

// writeEvents writes the events from first to last; end finishes the stream.
func writeEvents(q *http.Request, w io.Writer, first, last int, end bool) {
	if first == 1 || q.Header.Get("Last-Event-Id") != "" {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			q.Header.Get("Chestnutcleat-Request-Id"), sealHeader)
	}
	for i := first; i <= last; i++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
	}
	if end {
		fmt.Fprint(w, "0\r\n\r\n")
	}
}

func streamText(last int) string {
	s := ""
	for i := 1; i <= last; i++ {
		s += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return s
}

type discardObserver struct{}

func (discardObserver) Emit(chestnutcleat.EventID, ...any) {}

const (
	streamTimeout = 4 * time.Second
	bookTimeout   = 2 * time.Second
)

func routes() []config.Route {
	target := []config.Target{{Service: "tool", Weight: 1}}
	model := []config.Target{{Service: "model", Weight: 1}}
	return []config.Route{
		{Name: "check", Host: "h", Prefix: "/check/", Type: config.Idempotent, Timeout: 1200 * time.Millisecond, LatencyTarget: 80 * time.Millisecond, Targets: target, MaxAttempts: 2},
		{Name: "book", Host: "h", Prefix: "/book/", Type: config.NonIdempotent, Timeout: bookTimeout, LatencyTarget: 200 * time.Millisecond, Targets: target, MaxAttempts: 2},
		{Name: "plan", Host: "h", Prefix: "/plan/", Type: config.Streaming, Timeout: streamTimeout, LatencyTarget: 200 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Targets: model, MaxAttempts: 2, Resumable: true},
		{Name: "once", Host: "h", Prefix: "/plan/moves/once/", Type: config.Streaming, Timeout: streamTimeout, LatencyTarget: 200 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Targets: model, MaxAttempts: 1, Resumable: true},
		{Name: "kept", Host: "h", Prefix: "/kept/", Type: config.Streaming, Timeout: streamTimeout, LatencyTarget: 200 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Targets: model, MaxAttempts: 2, Retained: true, Retention: time.Minute},
		{Name: "open", Host: "h", Prefix: "/open/", Type: config.Idempotent, Timeout: time.Second, Targets: target, MaxAttempts: 1, Public: true},
	}
}

func configuration(keys ...string) *config.Table {
	return config.NewTable(config.Config{
		Routes:    routes(),
		Services:  map[chestnutcleat.ServiceName]config.Service{"model": {Engine: &config.Engine{TokensPerEvent: 10}}, "tool": {}},
		Customers: []config.Customer{{ID: "c", Keys: keys}, {ID: "d", Keys: []string{"key of d"}}, {ID: "busy", Keys: []string{"key of busy"}, Rate: 1, Burst: 1}},
	})
}

func newHarness(t testing.TB, handle func(r *receivedRequest, q *http.Request, w io.Writer) bool) *harness {
	h := &harness{t: t, instances: &fakeInstances{handle: handle}, table: configuration("key")}
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	h.network = vm.NewNetwork(1)
	replicaSet := h.startReplica(ctx)
	instanceTable := place.NewTable()
	var list []chestnutcleat.Instance
	for _, s := range []chestnutcleat.ServiceName{"tool", "model"} {
		for i := range 3 {
			id := fmt.Sprintf("%s-%d", s, i)
			list = append(list, chestnutcleat.Instance{ID: chestnutcleat.InstanceID(id), Service: s, Address: chestnutcleat.Address(id), Slots: 6})
		}
	}
	instanceTable.SetInstances(list)
	pool := exchange.NewPool(net.KeepAliveConfig{})
	pool.Dial = h.instances.dial
	h.appends = &appendCounter{Peers: h.network.From("entry")}
	client := &ledger.Client{Peers: h.appends, Observer: discardObserver{}}
	h.goroutines.Go(func() { _ = client.Run(ctx) })
	rates := rate.NewLimiter("v1", 5*time.Second)
	rates.SetCustomers(h.table.Customers)
	rates.SetVMs([]chestnutcleat.VMID{"v1"})
	h.handler = &Handler{
		Codec: platform.Codec{}, Config: func() *config.Table { return h.table }, Instances: instanceTable, Pool: pool, Rates: rates,
		Ledger: client, Crashes: &CrashTracker{}, Observer: discardObserver{}, Metrics: &Metrics{Set: metrics.NewSet()},
		Memory: &memory.Budget{Limit: 1 << 20},
	}
	h.server, h.client = h.serve(h.handler)
	time.Sleep(10 * time.Millisecond)
	client.SetReplicaSet(replicaSet)
	return h
}

// serve starts a server of callers, and returns it with a client whose connections are pipes to it.
func (h *harness) serve(handler http.Handler) (*http.Server, *http.Client) {
	l := pipe.Listen()
	server := &http.Server{Handler: handler}
	h.goroutines.Go(func() { _ = server.Serve(l) })
	// The channel of a context from outside the test's bubble must not be waited for inside it.
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return l.Dial(context.WithoutCancel(ctx)) }
	return server, &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dial}}
}

// endTimeouts lets no request end by the time that it takes, for tests in real time on a busy machine.
func (h *harness) endTimeouts() {
	for i := range h.table.Routes {
		h.table.Routes[i].Timeout, h.table.Routes[i].LatencyTarget = time.Hour, time.Hour
	}
}

// startReplica runs a replica of the ledger at "store".
func (h *harness) startReplica(ctx context.Context) chestnutcleat.ReplicaSet {
	set, _ := h.startReplicaAt(ctx, "store")
	return set
}

// startReplicaAt runs a replica and returns a set with only this one.
func (h *harness) startReplicaAt(ctx context.Context, name chestnutcleat.Address) (chestnutcleat.ReplicaSet, *ledger.Store) {
	store, err := ledger.Open(h.t.TempDir())
	if err != nil {
		h.t.Fatal(err)
	}
	store.Peers, store.Observer = h.network.From(name), discardObserver{}
	mux := vm.NewMux()
	store.Register(mux)
	h.network.Attach(name, mux)
	if h.mux == nil {
		h.mux = mux
	}
	h.goroutines.Go(func() { _ = store.Run(ctx) })
	disks := []chestnutcleat.Replica{{Disk: store.Disk(), VM: chestnutcleat.VMID(name), Address: name}}
	return chestnutcleat.ReplicaSet{Version: ledger.FirstVersion, Disks: disks}, store
}

func (h *harness) close() {
	h.client.CloseIdleConnections()
	h.server.Close()
	h.handler.Pool.Close()
	h.stop()
	h.goroutines.Wait()
	// net/http closes a connection with unread bytes after half a second.
	time.Sleep(time.Second)
}

// do sends a request with additional headers, given as pairs of name and value.
func (h *harness) do(ctx context.Context, path, body string, pairs ...string) (*http.Response, string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", "r1")
	for i := 0; i < len(pairs); i += 2 {
		q.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := h.client.Do(q)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// runInBubble runs a test with a harness in a synctest bubble, that is, in virtual time.
func runInBubble(t *testing.T, handle func(r *receivedRequest, q *http.Request, w io.Writer) bool, f func(is *is.I, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, handle)
		f(is.New(t), h)
		h.close()
		synctest.Wait()
	})
}

// hangUntilClosed sends nothing and waits until the entry VM closes the connection.
func hangUntilClosed(r *receivedRequest, w io.Writer) bool {
	_, _ = w.(net.Conn).Read(make([]byte, 1))
	r.disconnected.Store(true)
	return false
}

// recordingObserver keeps all events.
type recordingObserver struct {
	mu   sync.Mutex
	list []recordedEvent
}

type recordedEvent struct {
	id         chestnutcleat.EventID
	attributes []any
}

func (o *recordingObserver) Emit(id chestnutcleat.EventID, attributes ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, recordedEvent{id, attributes})
}

// with returns the values of an attribute in all events with the given id.
func (o *recordingObserver) with(id chestnutcleat.EventID, name string) []any {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []any
	for _, e := range o.list {
		for i := 0; e.id == id && i+1 < len(e.attributes); i += 2 {
			if e.attributes[i] == name {
				out = append(out, e.attributes[i+1])
			}
		}
	}
	return out
}
