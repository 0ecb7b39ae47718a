package entry

import (
	"bufio"
	"context"
	"errors"
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

// rig is an entry VM with instances, a caller and one copy of the records.
type rig struct {
	t         *testing.T
	instances *instances
	handler   *Handler
	table     *config.Table
	server    *http.Server
	client    *http.Client
	network   *vm.Network
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
	client := &ledger.Client{Peers: r.network.From("entry"), Observer: quiet{}}
	r.done.Go(func() { _ = client.Run(ctx) })
	rates := rate.NewFleet(5 * time.Second)
	rates.Set(r.table.Customers)
	rates.SetVMs(1)
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

// Each way in which an instance fails must lead to the answer that its route allows: what may not be repeated runs once, and
// only what surely did not run is answered as such.
func TestFailures(t *testing.T) {
	type acts map[string]func(r *ran, q *http.Request, w io.Writer) bool
	for name, act := range (acts{
		"breaks off": func(*ran, *http.Request, io.Writer) bool { return false },
		"garbage":    func(_ *ran, _ *http.Request, w io.Writer) bool { fmt.Fprint(w, "garbage\r\n\r\n"); return false },
		"cut body": func(_ *ran, q *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%sContent-Length: 9\r\n\r\nok", signed)
			return false
		},
		"other request's answer": func(_ *ran, q *http.Request, w io.Writer) bool {
			q.Header.Set("Chestnutcleat-Request-Id", "r0")
			answer(q, w, 200, signed, "other")
			return true
		},
		"unsigned":         func(_ *ran, q *http.Request, w io.Writer) bool { answer(q, w, 200, "", "forged"); return true },
		"unsigned failure": func(_ *ran, q *http.Request, w io.Writer) bool { answer(q, w, 503, "", "forged"); return true },
		"encoded": func(_ *ran, q *http.Request, w io.Writer) bool {
			answer(q, w, 200, signed+"Content-Encoding: gzip\r\n", "x")
			return true
		},
		"answer never comes": func(r *ran, _ *http.Request, w io.Writer) bool { return hang(r, w) },
	}) {
		for _, route := range []struct {
			path   string
			runs   int
			status int
		}{{"/check/", 2, 200}, {"/book/", 1, 502}} {
			t.Run(name+" "+route.path, func(t *testing.T) {
				inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
					if r.n == 1 {
						return act(r, q, w)
					}
					return ok(r, q, w)
				}, func(is *is.I, r *rig) {
					start := time.Now()
					a, body, err := r.do(r.t.Context(), route.path, "b")
					is.NoErr(err)
					want := route.status
					if name == "answer never comes" && want == 502 {
						want = 504
						is.Equal(time.Since(start), bookTimeout)
					}
					is.Equal(a.StatusCode, want)
					is.Equal(len(r.instances.all()), route.runs)
					if want == 200 {
						is.Equal(body, "ok")
						is.True(r.instances.all()[0].instance != r.instances.all()[1].instance)
						is.True(time.Since(start) <= patience*80*time.Millisecond)
					} else {
						is.True(strings.Contains(body, `"unknown"`))
					}
				})
			})
		}
	}
}

// A request that instances turn down has not run, so it may go to another one, also if it may not be repeated; if all turn
// it down the caller learns that it did not run and when to return.
func TestTurnedDown(t *testing.T) {
	for _, free := range []int{1, 0} {
		t.Run(fmt.Sprint(free, " free"), func(t *testing.T) {
			inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
				if free > 0 && r.n == 3 {
					return ok(r, q, w)
				}
				answer(q, w, 503, "Chestnutcleat-Not-Executed: 1\r\n", "")
				return true
			}, func(is *is.I, r *rig) {
				a, body, err := r.do(r.t.Context(), "/book/", "b")
				is.NoErr(err)
				if free > 0 {
					is.Equal(a.StatusCode, 200)
					return
				}
				is.Equal(a.StatusCode, 503)
				is.True(a.Header.Get("Retry-After") != "")
				is.True(strings.Contains(body, `"not-run"`))
			})
		})
	}
}

// A request that was sent and lost must not be promised not to have run when the next instance turns it down.
func TestNoFalsePromise(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			return false
		}
		answer(q, w, 503, "Chestnutcleat-Not-Executed: 1\r\n", "")
		return true
	}, func(is *is.I, r *rig) {
		a, body, err := r.do(r.t.Context(), "/check/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 502)
		is.True(strings.Contains(body, `"unknown"`))
	})
}

// An instance's own failure is passed on unchanged, and nothing is tried again.
func TestInstanceFailure(t *testing.T) {
	inBubble(t, func(_ *ran, q *http.Request, w io.Writer) bool { answer(q, w, 500, signed, "broken"); return true }, func(is *is.I, r *rig) {
		a, body, err := r.do(r.t.Context(), "/check/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 500)
		is.Equal(body, "broken")
		is.Equal(a.Header.Get("Chestnutcleat-Server-Seal"), "seal")
		is.Equal(len(r.instances.all()), 1)
	})
}

// Requests that may not run at all must be refused with the reason, before any instance sees them.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		pairs  []string
		status int
	}{
		"no route":      {"/none/", nil, 404},
		"unknown key":   {"/book/", []string{"Authorization", "Bearer other"}, 401},
		"no key":        {"/book/", []string{"Authorization", ""}, 401},
		"bad deadline":  {"/book/", []string{"Chestnutcleat-Deadline-Ms", "x"}, 400},
		"not kept":      {"/kept/", []string{"Chestnutcleat-Previous-Turn", "r0"}, 404},
		"over budget":   {"/plan/", []string{"Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "50", "Chestnutcleat-Token-Count", "9,51"}, 402},
		"over its rate": {"/check/", []string{"Authorization", "Bearer key of busy"}, 429},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, ok, func(is *is.I, r *rig) {
				a, body, err := r.do(r.t.Context(), c.path, "b", c.pairs...)
				is.NoErr(err)
				is.Equal(a.StatusCode, c.status)
				is.True(strings.Contains(body, `"not-run"`))
				is.Equal(len(r.instances.all()), 0)
			})
		})
	}
}

// A VM that has no configuration yet can't tell that a route or key does not exist.
func TestNoConfiguration(t *testing.T) {
	inBubble(t, ok, func(is *is.I, r *rig) {
		r.table = nil
		a, _, err := r.do(r.t.Context(), "/none/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 503)
		is.True(a.Header.Get("Retry-After") != "")
	})
}

// A withdrawn key must stop working on a connection that is open, and open routes need none.
func TestKeyWithdrawn(t *testing.T) {
	inBubble(t, ok, func(is *is.I, r *rig) {
		a, _, err := r.do(r.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
		is.Equal(r.instances.all()[0].header.Get("Chestnutcleat-Tenant"), "c")
		is.Equal(r.instances.all()[0].header.Get("Authorization"), "")
		r.table = configuration("new key")
		a, _, err = r.do(r.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 401)
		a, _, err = r.do(r.t.Context(), "/open/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
	})
}

// An instance gets no more time than the caller or the route has left.
func TestTimeLeft(t *testing.T) {
	inBubble(t, ok, func(is *is.I, r *rig) {
		for _, wait := range []string{"500", "9000"} {
			_, _, err := r.do(r.t.Context(), "/book/", "b", "Chestnutcleat-Deadline-Ms", wait)
			is.NoErr(err)
		}
		list := r.instances.all()
		is.Equal(list[0].header.Get("Chestnutcleat-Deadline-Ms"), "500")
		is.Equal(list[1].header.Get("Chestnutcleat-Deadline-Ms"), "2000")
	})
}

// A stream that breaks off midway goes on at another instance within one answer, without a gap or a repeat.
func TestStreamResumes(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			events(q, w, 1, 3, false)
			fmt.Fprint(w, "9\r\nid: 4\nda\r\n")
			return false
		}
		events(q, w, 4, 6, true)
		return true
	}, func(is *is.I, r *rig) {
		a, body, err := r.do(r.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
		is.Equal(body, whole(6))
		list := r.instances.all()
		is.Equal(len(list), 2)
		is.Equal(list[1].header.Get("Last-Event-Id"), "3")
		is.True(list[0].instance != list[1].instance)
	})
}

// A silent instance must be left before the next one begins, or two work on one stream.
func TestStalledStreamMoves(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			events(q, w, 1, 2, false)
			return hang(r, w)
		}
		events(q, w, 3, 4, true)
		return true
	}, func(is *is.I, r *rig) {
		_, body, err := r.do(r.t.Context(), "/plan/", "b")
		is.NoErr(err)
		is.Equal(body, whole(4))
		is.True(r.instances.all()[0].left.Load())
	})
}

// A stream that may not go on elsewhere must not look whole when it breaks off.
func TestBrokenStream(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, false); return false }, func(is *is.I, r *rig) {
		_, body, err := r.do(r.t.Context(), "/kept/", "b")
		is.True(err != nil)
		is.Equal(body, whole(2))
		is.Equal(len(r.instances.all()), 1)
	})
}

// A turn that can't be kept must not end as whole: the caller would go on from a turn that is not there.
func TestTurnNotKept(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, true); return true }, func(is *is.I, r *rig) {
		r.network.Detach("store")
		_, _, err := r.do(r.t.Context(), "/kept/", "b")
		is.True(err != nil)
	})
}

// An instance must get the inputs and outputs of the chain, byte for byte, also on a VM that never saw the turns; another
// customer must not.
func TestChain(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 2, true); return true }, func(is *is.I, r *rig) {
		const out = "piece 1\npiece 2\n"
		id, previous := "Chestnutcleat-Request-Id", "Chestnutcleat-Previous-Turn"
		_, _, err := r.do(r.t.Context(), "/kept/", "one;", id, "t1")
		is.NoErr(err)
		_, _, err = r.do(r.t.Context(), "/kept/", "two;", id, "t2", previous, "t1")
		is.NoErr(err)
		r.handler.Turns = &TurnCache{Size: 1 << 20}
		_, _, err = r.do(r.t.Context(), "/kept/", "three;", id, "t3", previous, "t2")
		is.NoErr(err)
		_, _, err = r.do(r.t.Context(), "/kept/", "other branch;", id, "t4", previous, "t1")
		is.NoErr(err)
		list := r.instances.all()
		is.Equal(list[1].body, "one;"+out+"two;")
		is.Equal(list[2].body, "one;"+out+"two;"+out+"three;")
		is.Equal(list[3].body, "one;"+out+"other branch;")
		a, _, err := r.do(r.t.Context(), "/kept/", "x", id, "t5", previous, "t2", "Authorization", "Bearer key of d")
		is.NoErr(err)
		is.Equal(a.StatusCode, 404)
		r.handler.Turns = &TurnCache{Size: 1 << 20}
		r.network.Detach("store")
		a, _, err = r.do(r.t.Context(), "/kept/", "x", id, "t6", previous, "t2")
		is.NoErr(err)
		is.Equal(a.StatusCode, 503) // not 404: nobody could look
	})
}

// A program must get its whole budget and no more: a turn counts with what it used once it has ended.
func TestBudget(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { events(q, w, 1, 3, true); return true }, func(is *is.I, r *rig) {
		turn := func(id string) int {
			a, _, err := r.do(r.t.Context(), "/plan/", "b", "Chestnutcleat-Request-Id", id, "Chestnutcleat-Program-Id", "p",
				"Chestnutcleat-Token-Budget", "100", "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return a.StatusCode
		}
		is.Equal(turn("t1"), 200) // 30 used
		is.Equal(turn("t2"), 200) // 60 used
		is.Equal(turn("t3"), 402) // 50 more would be 110
		is.Equal(turn("t4"), 402)
		is.Equal(len(r.instances.all()), 2)
		r.network.Detach("store")
		is.Equal(turn("t5"), 503)
		is.Equal(len(r.instances.all()), 2)
	})
}

// When the caller leaves, the instance must stop at once.
func TestCallerLeaves(t *testing.T) {
	inBubble(t, func(r *ran, q *http.Request, w io.Writer) bool { return hang(r, w) }, func(is *is.I, r *rig) {
		ctx, cancel := context.WithTimeout(r.t.Context(), 300*time.Millisecond)
		defer cancel()
		_, _, err := r.do(ctx, "/book/", "b")
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(10 * time.Millisecond)
		list := r.instances.all()
		is.Equal(len(list), 1)
		is.True(list[0].left.Load())
	})
}

// While the VM leaves, each answer must be the last one on its connection.
func TestLeaving(t *testing.T) {
	inBubble(t, ok, func(is *is.I, r *rig) {
		r.handler.Leave()
		a, _, err := r.do(r.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(a.StatusCode, 200)
		is.True(a.Close)
	})
}

// Bodies must not fill the memory, whether they say their size or not.
func TestLargeBody(t *testing.T) {
	inBubble(t, ok, func(is *is.I, r *rig) {
		r.table.Limits.Body = 1 << 10
		a, _, err := r.do(r.t.Context(), "/book/", strings.Repeat("x", 2<<10))
		is.NoErr(err)
		is.Equal(a.StatusCode, 413)
		r.table.Limits.Body = 4 << 20
		a, _, err = r.do(r.t.Context(), "/book/", strings.Repeat("x", 2<<20))
		is.NoErr(err)
		is.Equal(a.StatusCode, 503)
		is.Equal(len(r.instances.all()), 0)
	})
}
