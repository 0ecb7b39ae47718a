package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
	"chestnutcleat.example/chestnutcleat/standin/loopback"
	standinservice "chestnutcleat.example/chestnutcleat/standin/service"
)

const (
	activeKey    = "good-key-0123456789"
	otherKey     = "other-key-987654321"
	withdrawnKey = "withdrawn-key-55555"
)

// fake implements Owners and Directory in memory.
type fake struct {
	mu           sync.Mutex
	answers      map[chestnutcleat.CallID]chestnutcleat.Answer
	bodies       map[chestnutcleat.CallID]chestnutcleat.Digest
	attempts     map[chestnutcleat.CallID]int
	settled      []chestnutcleat.SettleRequest
	released     []chestnutcleat.ReleaseRequest
	begun        []chestnutcleat.BeginRequest
	rateExceeded bool
	// failing is the request that fails, such as "take".
	failing       string
	movedUpstream chestnutcleat.UpstreamID
	output        chestnutcleat.Tokens
	tickets       int
	wallClockEnd  time.Time
	ended         []chestnutcleat.ProgramID
	upstreams     []chestnutcleat.Upstream
	routes        []chestnutcleat.Route
	withdrawn     bool
	subscribers   map[int]func()
}

func (f *fake) errorFor(method string) error {
	if f.failing == method {
		return fmt.Errorf("no owner for %s", method)
	}
	return nil
}

func (f *fake) Take(context.Context, chestnutcleat.TakeRequest) (chestnutcleat.TakeReply, error) {
	return chestnutcleat.TakeReply{Admitted: !f.rateExceeded, Retry: 1500e6}, f.errorFor("take")
}

func (f *fake) Usage(context.Context, chestnutcleat.UsageReport) error { return nil }

func (f *fake) Begin(_ context.Context, r chestnutcleat.BeginRequest) (chestnutcleat.BeginReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, r)
	if b, ok := f.bodies[r.Call.ID]; ok && b != r.Call.BodyDigest {
		return chestnutcleat.BeginReply{Problem: chestnutcleat.NewProblem(chestnutcleat.CodeCallReused, chestnutcleat.NotRun, "other body")}, nil
	}
	f.bodies[r.Call.ID] = r.Call.BodyDigest
	if a, ok := f.answers[r.Call.ID]; ok {
		return chestnutcleat.BeginReply{Answer: &a}, nil
	}
	f.attempts[r.Call.ID]++
	return chestnutcleat.BeginReply{Run: true, Attempt: f.attempts[r.Call.ID], Output: f.output, WallClockEnd: f.wallClockEnd}, f.errorFor("begin")
}

func (f *fake) Start(context.Context, chestnutcleat.StartRequest) (chestnutcleat.StartReply, error) {
	return chestnutcleat.StartReply{}, f.errorFor("start")
}

func (f *fake) Settle(_ context.Context, r chestnutcleat.SettleRequest) (chestnutcleat.SettleReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, r)
	if r.Retry {
		f.attempts[r.Call]++
		return chestnutcleat.SettleReply{Next: chestnutcleat.BeginReply{Run: true, Attempt: f.attempts[r.Call], Output: f.output}}, nil
	}
	f.answers[r.Call] = r.Answer
	return chestnutcleat.SettleReply{}, f.errorFor("settle")
}

func (f *fake) End(_ context.Context, r chestnutcleat.EndRequest) error {
	f.ended = append(f.ended, r.Program)
	return nil
}

func (f *fake) Summary(_ context.Context, r chestnutcleat.EndRequest) (chestnutcleat.Summary, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := chestnutcleat.Summary{Program: r.Program}
	for id := range f.answers {
		s.Calls = append(s.Calls, chestnutcleat.CallSummary{ID: id, State: chestnutcleat.CallEnded})
	}
	if len(s.Calls) == 0 {
		return s, chestnutcleat.NewProblem(chestnutcleat.CodeProgramUnknown, chestnutcleat.NotRun, "no such program")
	}
	return s, nil
}

func (f *fake) Acquire(_ context.Context, r chestnutcleat.AcquireRequest) (chestnutcleat.AcquireReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets++
	if r.Upstream == f.movedUpstream {
		return chestnutcleat.AcquireReply{ChooseAgain: true}, nil
	}
	return chestnutcleat.AcquireReply{Ticket: &chestnutcleat.Ticket{ID: chestnutcleat.TicketID(fmt.Sprint(f.tickets)), Upstream: r.Upstream}}, f.errorFor("acquire")
}

func (f *fake) Cancel(context.Context, chestnutcleat.AcquireRequest) error { return nil }

func (f *fake) Release(_ context.Context, r chestnutcleat.ReleaseRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, r)
	return nil
}

func (f *fake) Pick(p chestnutcleat.Pick) (chestnutcleat.UpstreamID, error) {
	r, _ := f.Route(p.Route)
	for _, u := range r.Upstreams {
		if !slices.Contains(p.Avoid, u) {
			return u, nil
		}
	}
	return "", fmt.Errorf("no upstream for %s", p.Route)
}

func (f *fake) Place(chestnutcleat.Key) chestnutcleat.OwnerLocation {
	return chestnutcleat.OwnerLocation{CallerAddress: "127.0.0.1:9"}
}

func (f *fake) Key(d chestnutcleat.Digest) (chestnutcleat.CustomerID, chestnutcleat.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch d {
	case chestnutcleat.DigestOf([]byte(activeKey)):
		if f.withdrawn {
			return "a", chestnutcleat.KeyWithdrawn
		}
		return "a", chestnutcleat.KeyActive
	case chestnutcleat.DigestOf([]byte(otherKey)):
		return "b", chestnutcleat.KeyActive
	case chestnutcleat.DigestOf([]byte(withdrawnKey)):
		return "a", chestnutcleat.KeyWithdrawn
	}
	return "", chestnutcleat.KeyUnknown
}

func (f *fake) Customer(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
	return chestnutcleat.Customer{ID: id}, true
}

func (f *fake) Route(name chestnutcleat.RouteName) (chestnutcleat.Route, bool) {
	for _, r := range f.routes {
		if r.Name == name {
			return r, true
		}
	}
	return chestnutcleat.Route{}, false
}

func (f *fake) Model(name chestnutcleat.ModelName) (chestnutcleat.Route, bool) {
	for _, r := range f.routes {
		if r.Model == name && name != "" {
			return r, true
		}
	}
	return chestnutcleat.Route{}, false
}

func (f *fake) Upstream(id chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool) {
	for _, u := range f.upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return chestnutcleat.Upstream{}, false
}

func (f *fake) VMs(chestnutcleat.CustomerID) []chestnutcleat.VM {
	return []chestnutcleat.VM{{ID: "v1", CallerAddress: "127.0.0.1:9", Domain: "norra"}}
}

func (f *fake) Limits() chestnutcleat.Limits { return chestnutcleat.Limits{MaxBodyBytes: 4096} }

func (f *fake) Subscribe(_ chestnutcleat.Digest, notify func()) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.subscribers)
	f.subscribers[n] = notify
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.subscribers[n] = func() {}
	}
}

// withdrawKey withdraws activeKey and notifies its subscribers.
func (f *fake) withdrawKey() {
	f.mu.Lock()
	f.withdrawn = true
	var list []func()
	for _, notify := range f.subscribers {
		list = append(list, notify)
	}
	f.mu.Unlock()
	for _, notify := range list {
		notify()
	}
}

func newFake() *fake {
	return &fake{
		answers: map[chestnutcleat.CallID]chestnutcleat.Answer{}, bodies: map[chestnutcleat.CallID]chestnutcleat.Digest{},
		attempts: map[chestnutcleat.CallID]int{}, subscribers: map[int]func(){},
	}
}

// testSystem is a handler with two stand-in engines and a stand-in service.
type testSystem struct {
	*fake
	client  *http.Client
	url     string
	handler *caller.Handler
	engines []*standinengine.Engine
	service *standinservice.Service
}

// startSystem runs a testSystem over TCP until the end of the test.
func startSystem(t *testing.T) *testSystem {
	t.Helper()
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	s := newSystem()
	s.client = http.DefaultClient
	s.start(serve)
	return s
}

func newSystem() *testSystem {
	f := newFake()
	return &testSystem{fake: f, service: &standinservice.Service{Record: true}, handler: &caller.Handler{Owners: f, Directory: f}}
}

// start starts the stand-ins and the handler; serve serves one and returns its address.
func (s *testSystem) start(serve func(h http.Handler) string) {
	f := s.fake
	for i := range 2 {
		e := &standinengine.Engine{Decode: 2000, Seed: uint64(i), Record: true}
		s.engines = append(s.engines, e)
		f.upstreams = append(f.upstreams, chestnutcleat.Upstream{ID: chestnutcleat.UpstreamID(fmt.Sprintf("e%d", i)), Kind: chestnutcleat.UpstreamEngine, Address: chestnutcleat.Address(serve(e)), Slots: 6})
	}
	f.upstreams = append(f.upstreams,
		chestnutcleat.Upstream{ID: "s", Kind: chestnutcleat.UpstreamService, Address: chestnutcleat.Address(serve(s.service))},
		chestnutcleat.Upstream{ID: "closed", Address: closedAddress()})
	engines := []chestnutcleat.UpstreamID{"e0", "e1"}
	f.routes = []chestnutcleat.Route{
		{Name: "chat", Kind: chestnutcleat.UpstreamEngine, Model: "m", Upstreams: engines, Repeatable: true},
		{Name: "once", Kind: chestnutcleat.UpstreamEngine, Model: "once", Upstreams: engines},
		{Name: "free", Kind: chestnutcleat.UpstreamEngine, Model: "free", Upstreams: engines, Repeatable: true, Open: true},
		{Name: "dead", Kind: chestnutcleat.UpstreamEngine, Model: "dead", Upstreams: []chestnutcleat.UpstreamID{"closed"}, Repeatable: true},
		{Name: "others", Kind: chestnutcleat.UpstreamEngine, Model: "others", Upstreams: engines, Customers: []chestnutcleat.CustomerID{"b"}},
		{Name: "book", Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"s"}},
		{Name: "read", Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"s"}, Repeatable: true},
		{Name: "deadbook", Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"closed"}},
		{Name: "half", Kind: chestnutcleat.UpstreamService, Upstreams: []chestnutcleat.UpstreamID{"closed", "s"}},
	}
	s.url = "http://" + serve(s.handler)
}

// closedAddress returns an address that refuses connections. It is not the address of a closed listener, as the kernel may give that to
// the next one.
func closedAddress() chestnutcleat.Address {
	const unusedHost, discardPort = 254, "9"
	return chestnutcleat.Address(net.JoinHostPort(loopback.IP(unusedHost), discardPort))
}

// response is an HTTP response whose body was read.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request; headers are alternating names and values.
func (s *testSystem) send(t *testing.T, method, path, body string, headers ...string) response {
	t.Helper()
	p := s.begin(t.Context(), t, method, path, body, headers...)
	defer p.Body.Close()
	data, err := io.ReadAll(p.Body)
	return response{status: p.StatusCode, header: p.Header, body: string(data), err: err}
}

// begin sends a request and returns the response once its header has arrived.
func (s *testSystem) begin(ctx context.Context, t *testing.T, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	p, err := s.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const bearer = "Bearer " + activeKey

// chat sends a chat completion request with activeKey.
func (s *testSystem) chat(t *testing.T, body string, headers ...string) response {
	t.Helper()
	return s.send(t, http.MethodPost, caller.PathChat, body, chatHeaders(headers)...)
}

// beginChat sends a chat completion request with activeKey and returns the response once its header has arrived.
func (s *testSystem) beginChat(ctx context.Context, t *testing.T, body string, headers ...string) *http.Response {
	t.Helper()
	return s.begin(ctx, t, http.MethodPost, caller.PathChat, body, chatHeaders(headers)...)
}

func chatHeaders(more []string) []string {
	return append([]string{"Content-Type", "application/json", "Authorization", bearer}, more...)
}

// chatBody returns the body of a chat completion request.
func chatBody(model, text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}
