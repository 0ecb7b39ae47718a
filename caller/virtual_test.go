package caller_test

import (
	"context"
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
	"chestnutcleat.example/chestnutcleat/standin/pipe"
)

// pipeNetwork is an in-memory network: the listener at each address.
type pipeNetwork map[string]*pipe.Listener

func (p pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, ok := p[address]
	if !ok {
		return nil, pipe.ErrRefused
	}
	return l.Dial(ctx)
}

// runVirtual runs a test with a testSystem over connections in memory and in virtual time, which passes only while all goroutines wait:
// what the test does during a call happens during the call, however slow the machine is.
func runVirtual(t *testing.T, test func(t *testing.T, is *is.I, s *testSystem)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		serve := func(h http.Handler) string {
			address := fmt.Sprintf("host-%d:1", len(network))
			network[address] = pipe.Listen()
			server := &http.Server{Handler: h}
			go server.Serve(network[address])
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
		network := pipeNetwork{"vm:1": pipe.Listen(), "engine:1": pipe.Listen()}
		f := newFake()
		f.upstreams = []chestnutcleat.Upstream{{ID: "e", Address: "engine:1"}}
		f.routes = []chestnutcleat.Route{{Name: "chat", Kind: chestnutcleat.UpstreamEngine, Model: "m", Upstreams: []chestnutcleat.UpstreamID{"e"}, Repeatable: true}}
		h := &caller.Handler{Owners: f, Directory: f, Dial: network.dial}
		e := &standinengine.Engine{Decode: 10, Seed: 1}
		e.SetFaults(standinengine.Faults{CutAfterTokens: 3, Requests: 1})
		servers := []*http.Server{h.Server(), {Handler: e}}
		for i, name := range []string{"vm:1", "engine:1"} {
			go servers[i].Serve(network[name])
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
