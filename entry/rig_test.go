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
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/vm"
)

// ran is a request that an instance got.
type ran struct {
	// n counts the requests that instances got, from 1.
	n        int
	instance string
	header   http.Header
	body     string
	// left is set once the connection was closed before the answer was whole.
	left atomic.Bool
}

// instances plays all instances: act gets each request and writes the answer.
type instances struct {
	mu  sync.Mutex
	ran []*ran
	act func(r *ran, q *http.Request, w io.Writer) (keep bool)
}

func (s *instances) dial(_ context.Context, a chestnutcleat.Address) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(string(a), server)
	return client, nil
}

func (s *instances) serve(name string, c net.Conn) {
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
		r := &ran{instance: name, header: q.Header, body: string(body)}
		s.mu.Lock()
		s.ran = append(s.ran, r)
		r.n = len(s.ran)
		s.mu.Unlock()
		if !s.act(r, q, c) {
			return
		}
	}
}

func (s *instances) all() []*ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*ran{}, s.ran...)
}

// appends counts the appends to the copy.
type appends struct {
	chestnutcleat.Peers
	n atomic.Int32
}

func (a *appends) Call(ctx context.Context, to chestnutcleat.Address, m chestnutcleat.Method, request, reply any) error {
	if _, ok := request.(ledger.AppendRequest); ok {
		a.n.Add(1)
	}
	return a.Peers.Call(ctx, to, m, request, reply)
}

// rig is an entry VM with instances, a caller and one copy of the records.
type rig struct {
	t         *testing.T
	instances *instances
	handler   *Handler
	table     *config.Table
	server    *http.Server
	client    *http.Client
	network   *vm.Network
	appends   *appends
	stop      context.CancelFunc
	done      sync.WaitGroup
}

const signed = "Chestnutcleat-Server-Seal: seal\r\n"

// answer writes a whole answer with the request's id.
func answer(q *http.Request, w io.Writer, status int, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nChestnutcleat-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, q.Header.Get("Chestnutcleat-Request-Id"), header, len(body), body)
}

func ok(_ *ran, q *http.Request, w io.Writer) bool {
	answer(q, w, 200, signed, "ok")
	return true
}

// events writes the events from first to last; end finishes the stream.
func events(q *http.Request, w io.Writer, first, last int, end bool) {
	if first == 1 || q.Header.Get("Last-Event-Id") != "" {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			q.Header.Get("Chestnutcleat-Request-Id"), signed)
	}
	for i := first; i <= last; i++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
	}
	if end {
		fmt.Fprint(w, "0\r\n\r\n")
	}
}

func whole(last int) string {
	s := ""
	for i := 1; i <= last; i++ {
		s += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return s
}

type listener struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.ended) }); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

type quiet struct{}

func (quiet) Emit(chestnutcleat.EventID, ...any) {}

const (
	streamTimeout = 4 * time.Second
	bookTimeout   = 2 * time.Second
)

func routes() []config.Route {
	target := []config.Target{{Service: "tool", Weight: 1}}
	model := []config.Target{{Service: "model", Weight: 1}}
	return []config.Route{
		{Name: "check", Host: "h", Prefix: "/check/", Type: config.Idempotent, Timeout: 1200 * time.Millisecond, Objective: 80 * time.Millisecond, Targets: target, Attempts: 2},
		{Name: "book", Host: "h", Prefix: "/book/", Type: config.NonIdempotent, Timeout: bookTimeout, Objective: 200 * time.Millisecond, Targets: target, Attempts: 2},
		{Name: "plan", Host: "h", Prefix: "/plan/", Type: config.Streaming, Timeout: streamTimeout, Objective: 200 * time.Millisecond, Gap: 250 * time.Millisecond, Targets: model, Attempts: 2, Resumable: true},
		{Name: "kept", Host: "h", Prefix: "/kept/", Type: config.Streaming, Timeout: streamTimeout, Objective: 200 * time.Millisecond, Gap: 250 * time.Millisecond, Targets: model, Attempts: 2, Kept: true, Retention: time.Minute},
		{Name: "open", Host: "h", Prefix: "/open/", Type: config.Idempotent, Timeout: time.Second, Targets: target, Attempts: 1, Public: true},
	}
}

func configuration(keys ...string) *config.Table {
	return config.NewTable(config.Config{
		Routes:    routes(),
		Services:  map[chestnutcleat.ServiceName]config.Service{"model": {Engine: &config.Engine{Chunk: 10}}, "tool": {}},
		Customers: []config.Customer{{ID: "c", Keys: keys}, {ID: "d", Keys: []string{"key of d"}}, {ID: "busy", Keys: []string{"key of busy"}, Rate: 1, Burst: 1}},
	})
}

func newRig(t *testing.T, act func(r *ran, q *http.Request, w io.Writer) bool) *rig {
	r := &rig{t: t, instances: &instances{act: act}, table: configuration("key")}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	r.network = vm.NewNetwork(1)
	copies := r.startCopy(ctx)
	places := place.NewTable()
	var list []chestnutcleat.Instance
	for _, s := range []chestnutcleat.ServiceName{"tool", "model"} {
		for i := range 3 {
			id := fmt.Sprintf("%s-%d", s, i)
			list = append(list, chestnutcleat.Instance{ID: chestnutcleat.InstanceID(id), Service: s, Address: chestnutcleat.Address(id), Slots: 6})
		}
	}
	places.Set(list)
	pool := exchange.NewPool(net.KeepAliveConfig{})
	pool.Dial = r.instances.dial
	r.appends = &appends{Peers: r.network.From("entry")}
	client := &ledger.Client{Peers: r.appends, Observer: quiet{}}
	r.done.Go(func() { _ = client.Run(ctx) })
	rates := rate.NewFleet("v1", 5*time.Second)
	rates.Set(r.table.Customers)
	rates.SetVMs([]chestnutcleat.VMID{"v1"})
	r.handler = &Handler{
		Codec: platform.Codec{}, Config: func() *config.Table { return r.table }, Places: places, Pool: pool, Rates: rates,
		Ledger: client, Turns: &TurnCache{Size: 1 << 20}, Suspects: &Suspects{}, Observer: quiet{}, Metrics: &Metrics{Set: metrics.NewSet()},
		Memory: 1 << 20,
	}
	l := &listener{conns: make(chan net.Conn), ended: make(chan struct{})}
	r.server = &http.Server{Handler: r.handler}
	r.done.Go(func() { _ = r.server.Serve(l) })
	r.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		l.conns <- b
		return a, nil
	}}}
	time.Sleep(10 * time.Millisecond)
	client.SetCopies(copies)
	return r
}

// startCopy runs a copy of the records at "store".
func (r *rig) startCopy(ctx context.Context) chestnutcleat.Copies {
	store, err := ledger.Open(r.t.TempDir())
	if err != nil {
		r.t.Fatal(err)
	}
	store.Peers, store.Observer = r.network.From("store"), quiet{}
	mux := vm.NewMux()
	store.Register(mux)
	r.network.Attach("store", mux)
	r.done.Go(func() { _ = store.Run(ctx) })
	return chestnutcleat.Copies{Version: ledger.FirstVersion, Disks: []chestnutcleat.Copy{{Disk: store.Disk(), VM: "store", Address: "store"}}}
}

func (r *rig) end() {
	r.client.CloseIdleConnections()
	r.server.Close()
	r.handler.Pool.Close()
	r.stop()
	r.done.Wait()
	// net/http closes a connection with unread bytes half a second later.
	time.Sleep(time.Second)
}

// do sends a request with the headers of pairs.
func (r *rig) do(ctx context.Context, path, body string, pairs ...string) (*http.Response, string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", "r1")
	for i := 0; i < len(pairs); i += 2 {
		q.Header.Set(pairs[i], pairs[i+1])
	}
	a, err := r.client.Do(q)
	if err != nil {
		return nil, "", err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return a, string(data), err
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, act func(r *ran, q *http.Request, w io.Writer) bool, f func(is *is.I, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, act)
		f(is.New(t), r)
		r.end()
		synctest.Wait()
	})
}

// hang waits until the entry VM closes the connection.
func hang(r *ran, w io.Writer) bool {
	_, _ = w.(net.Conn).Read(make([]byte, 1))
	r.left.Store(true)
	return false
}
