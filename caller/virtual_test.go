package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	standincaller "chestnutcleat.example/chestnutcleat/standin/caller"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// pipeNetwork is an in-memory network that maps each address to a queue of connections.
type pipeNetwork map[string]chan net.Conn

func (p pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, ok := p[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	select {
	case l <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts the connections of one address.
type listener struct {
	net.Listener
	queue  chan net.Conn
	closed chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error {
	close(l.closed)
	return nil
}

func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// runVirtual runs a test with a testSystem over connections in memory and in virtual time, which passes only while all goroutines wait:
// what the test does during a call happens during the call, however slow the machine is.
func runVirtual(t *testing.T, test func(t *testing.T, is *is.I, s *testSystem)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		serve := func(h http.Handler) string {
			address := fmt.Sprintf("host-%d:1", len(network))
			network[address] = make(chan net.Conn)
			server := &http.Server{Handler: h}
			go server.Serve(listener{queue: network[address], closed: make(chan struct{})})
			t.Cleanup(func() { server.Close() })
			return address
		}
		s := newSystem()
		s.handler.Dial = network.dial
		s.client = &http.Client{Transport: &http.Transport{DialContext: network.dial}}
		s.start(serve)
		test(t, is.New(t), s)
	})
}

// Programs with pauses of hours must behave in virtual time as they do over TCP.
func TestVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := pipeNetwork{"vm:1": make(chan net.Conn), "engine:1": make(chan net.Conn)}
		f := newFake()
		f.upstreams = []chestnutcleat.Upstream{{ID: "e", Address: "engine:1"}}
		f.routes = []chestnutcleat.Route{{Name: "chat", Kind: chestnutcleat.UpstreamEngine, Model: "m", Upstreams: []chestnutcleat.UpstreamID{"e"}, Repeatable: true}}
		h := &caller.Handler{Owners: f, Directory: f, Dial: network.dial}
		e := &standinengine.Engine{Decode: 10, Seed: 1}
		e.SetFaults(standinengine.Faults{CutAfterTokens: 3, Requests: 1})
		servers := []*http.Server{h.Server(), {Handler: e}}
		for i, name := range []string{"vm:1", "engine:1"} {
			go servers[i].Serve(listener{queue: network[name], closed: make(chan struct{})})
		}
		l := standincaller.Load{
			VMs: []chestnutcleat.Address{"vm:1"}, Seed: 1, Dial: network.dial,
			Customers: []standincaller.Customer{{ID: "a", Key: activeKey, Rate: 0.01, MaxPrograms: 3, Model: "m"}},
			Shape:     standincaller.Shape{MinTurns: 3, MaxTurns: 3, MeanPause: time.Hour, SubAgentProbability: 0.5, SystemTokens: 20, InputTokens: 5, OutputTokens: 10},
		}
		start := time.Now()
		r, err := l.Run(t.Context())
		is.NoErr(err)
		is.Equal(r.Customers[0].Errors, nil)
		is.Equal(r.Customers[0].Finished, 3)
		is.True(time.Since(start) > time.Hour)
		is.NoErr(h.Drain(t.Context()))
		for _, s := range servers {
			is.NoErr(s.Close())
		}
	})
}
