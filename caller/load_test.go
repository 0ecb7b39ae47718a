package caller_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	standincaller "chestnutcleat.example/chestnutcleat/standin/caller"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// Programs with tools and sub-agents must finish while engines interrupt streams, and each tool call must run once.
func TestProgramsComplete(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	second := httptest.NewServer(&caller.Handler{Owners: s.fake, Directory: s.fake})
	t.Cleanup(second.Close)
	// There are fewer interruptions than attempts of one call, so that every call can complete.
	for _, e := range s.engines {
		e.SetFaults(standinengine.Faults{CutAfterTokens: 3, Requests: (caller.DefaultMaxAttempts - 1) / 2})
	}
	l := standincaller.Load{
		VMs:       []chestnutcleat.Address{chestnutcleat.Address(strings.TrimPrefix(s.url, "http://")), chestnutcleat.Address(strings.TrimPrefix(second.URL, "http://"))},
		Customers: []standincaller.Customer{{ID: "a", Key: activeKey, Rate: 100, MaxPrograms: 5, Model: "m", Tools: []standincaller.Tool{{Route: "book", Probability: 0.5}}}},
		Shape:     standincaller.Shape{MinTurns: 3, MaxTurns: 3, MeanPause: time.Millisecond, SubAgentProbability: 0.5, SystemTokens: 40, InputTokens: 10, OutputTokens: 10},
		Seed:      3,
	}
	// The fake's list of VMs has an address that refuses connections, so that calls also fail over.
	r, err := l.Run(t.Context())
	is.NoErr(err)
	is.Equal(r.Customers[0].Errors, nil)
	is.Equal(r.Customers[0].Finished, 5)
	is.True(len(s.service.Executions()) > 0)
	for _, n := range s.service.Executions() {
		is.Equal(n, 1)
	}
}
