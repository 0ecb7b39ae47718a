package operator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/operator"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
	"chestnutcleat.example/chestnutcleat/vm"
)

const manifestText = `{"customers": [{"id": "a", "rate": 5, "burst": 10}],
"upstreams": [{"id": "s", "kind": "service", "address": "10.0.0.1:80", "domain": "d", "slots": 1}],
"routes": [{"name": "pay", "kind": "service", "upstreams": ["s"], "repeatable": false}]}`

type discardObserver struct{}

func (discardObserver) Emit(chestnutcleat.EventID, ...any) {}

// startServer serves the operator interface of a VM whose platform is s.
func startServer(t *testing.T, s *standin.Store) (*operator.Client, *httptest.Server) {
	ctx, cancel := context.WithCancel(t.Context())
	loop := control.New()
	go loop.Run(ctx)
	p := &standin.Client{Store: s, Name: "v"}
	store := &manifest.Store{Loop: loop, Peers: vm.NewNetwork(1).From("v"), Platform: p, Observer: discardObserver{},
		Members: func() []chestnutcleat.VM { return nil }, VM: "v", Address: "v", Rand: rand.New(rand.NewPCG(1, 1))}
	started := make(chan struct{})
	loop.Post(func() { store.Start(func() { close(started) }) })
	<-started
	h := &operator.Handler{
		VMs:       func(context.Context) ([]chestnutcleat.VM, error) { return []chestnutcleat.VM{{ID: "v"}}, nil },
		Upstreams: func(context.Context) ([]chestnutcleat.Load, error) { return []chestnutcleat.Load{{Upstream: "s"}}, nil },
		Drain: func(_ context.Context, id chestnutcleat.VMID, _ string) error {
			return chestnutcleat.NewProblem(chestnutcleat.CodeVMUnknown, chestnutcleat.NotRun, "VM %q is not known", id)
		},
		Ready: func(context.Context) error { return errors.New("no lease") },
	}
	h.Bind(loop, store, p)
	server := httptest.NewServer(h.ServeMux())
	t.Cleanup(func() { server.Close(); cancel() })
	return &operator.Client{Address: chestnutcleat.Address(strings.TrimPrefix(server.URL, "http://")), Who: "op"}, server
}

// Deployment pipelines act on the status and outcome of a response: a wrong one makes them repeat or lose a change.
func TestManifestAndKeys(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore(1)
	c, server := startServer(t, s)
	ctx := t.Context()
	expectStatus := func(err error, status int) *operator.Problem {
		t.Helper()
		var p *operator.Problem
		if !errors.As(err, &p) || p.Status != status {
			t.Fatalf("got %v, expected status %d", err, status)
		}
		return p
	}

	a, err := c.Apply(ctx, manifest.Change{Raw: []byte(manifestText)})
	is.NoErr(err)
	is.Equal(a.Revision, chestnutcleat.Revision(1))
	m, err := c.Manifest(ctx)
	is.NoErr(err)
	is.Equal(m.Revision, a.Revision)

	_, err = c.Apply(ctx, manifest.Change{Raw: []byte(strings.Replace(manifestText, `"rate": 5`, `"rate": -5`, 1)), Base: 1})
	p := expectStatus(err, http.StatusUnprocessableEntity)
	is.Equal(p.Errors[0].Field, "customers[0].rate")
	_, err = c.Apply(ctx, manifest.Change{Raw: []byte(strings.Replace(manifestText, `"rate": 5`, `"rate": 6`, 1))})
	p = expectStatus(err, http.StatusConflict)
	is.Equal(p.Revision, chestnutcleat.Revision(1))
	is.Equal(p.Diff, []string{`customer "a" differs`})
	s.SetFaults(standin.Faults{Outage: true})
	_, err = c.Apply(ctx, manifest.Change{Raw: []byte(manifestText), Base: 1})
	is.Equal(expectStatus(err, http.StatusServiceUnavailable).Outcome, chestnutcleat.NotRun)
	s.SetFaults(standin.Faults{})

	d := chestnutcleat.DigestOf([]byte("key"))
	_, err = c.Give(ctx, operator.GiveRequest{Customer: "nobody", Digest: d})
	expectStatus(err, http.StatusUnprocessableEntity)
	_, err = c.Give(ctx, operator.GiveRequest{Customer: "a", Digest: d})
	is.NoErr(err)
	_, err = c.Withdraw(ctx, d)
	is.NoErr(err)
	_, err = c.Give(ctx, operator.GiveRequest{Customer: "a", Digest: d})
	expectStatus(err, http.StatusUnprocessableEntity)

	expectStatus(c.Drain(ctx, "x"), http.StatusNotFound)
	expectStatus(c.Ready(ctx), http.StatusServiceUnavailable)
	vms, err := c.VMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 1)
	upstreams, err := c.Upstreams(ctx)
	is.NoErr(err)
	is.Equal(len(upstreams), 1)
	is.True(expectStatus((&operator.Client{Address: c.Address}).Drain(ctx, "x"), http.StatusBadRequest) != nil)
	r, err := http.Get(server.URL + "/metrics")
	is.NoErr(err)
	r.Body.Close()
	is.Equal(r.StatusCode, http.StatusOK)
}

// Without If-Match, a change could overwrite the change of another operator.
func TestIfMatchIsRequired(t *testing.T) {
	is := is.New(t)
	_, server := startServer(t, standin.NewStore(1))
	q, err := http.NewRequest(http.MethodPut, server.URL+"/manifest", strings.NewReader(manifestText))
	is.NoErr(err)
	q.Header.Set(operator.HeaderOperator, "op")
	r, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	r.Body.Close()
	is.Equal(r.StatusCode, http.StatusPreconditionRequired)
	is.Equal(r.Header.Get("Content-Type"), "application/problem+json")
}
