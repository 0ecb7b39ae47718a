package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
)

func candidate(id chestnutcleat.UpstreamID, l chestnutcleat.Load, cached chestnutcleat.Tokens) chestnutcleat.Candidate {
	u := chestnutcleat.Upstream{ID: id, Slots: 6, Cache: 120_000, Prefill: 4000, Decode: 40}
	return chestnutcleat.Candidate{Upstream: u, Load: l, Cached: cached}
}

// Guards against requests to upstreams that take none, and against moves that cost more than they save.
func TestPick(t *testing.T) {
	healthy := chestnutcleat.Load{Health: chestnutcleat.HealthUp}
	waiting := func(d time.Duration) chestnutcleat.Load {
		return chestnutcleat.Load{Health: chestnutcleat.HealthUp, Running: 6, Wait: d}
	}
	down := chestnutcleat.Load{Health: chestnutcleat.HealthDown}
	probing := chestnutcleat.Load{Health: chestnutcleat.HealthProbing, Running: 1}
	leaving := candidate("a", healthy, 0)
	leaving.Upstream.Leaving = true
	cases := []struct {
		name       string
		candidates []chestnutcleat.Candidate
		current    chestnutcleat.UpstreamID
		avoid      []chestnutcleat.UpstreamID
		want       chestnutcleat.UpstreamID
	}{
		{"none", nil, "", nil, ""},
		{"least wait", []chestnutcleat.Candidate{candidate("a", waiting(9*time.Second), 0), candidate("b", healthy, 0)}, "", nil, "b"},
		{"down", []chestnutcleat.Candidate{candidate("a", down, 0), candidate("b", waiting(time.Minute), 0)}, "", nil, "b"},
		{"probing and busy", []chestnutcleat.Candidate{candidate("a", probing, 0), candidate("b", waiting(time.Minute), 0)}, "", nil, "b"},
		{"leaving, although current", []chestnutcleat.Candidate{leaving, candidate("b", waiting(time.Minute), 0)}, "a", nil, "b"},
		{"avoided, although current", []chestnutcleat.Candidate{candidate("a", healthy, 8000), candidate("b", healthy, 0)}, "a", []chestnutcleat.UpstreamID{"a"}, "b"},
		{"only one, down", []chestnutcleat.Candidate{candidate("a", down, 0)}, "a", nil, ""},
		{"stays within the bound", []chestnutcleat.Candidate{candidate("a", waiting(15*time.Second), 8000), candidate("b", healthy, 0)}, "a", nil, "a"},
		{"moves beyond the bound", []chestnutcleat.Candidate{candidate("a", waiting(17*time.Second), 8000), candidate("b", healthy, 0)}, "a", nil, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := dispatch.Picker{Rand: rand.New(rand.NewPCG(1, 1))}
			got, ok := p.Pick(chestnutcleat.PickRequest{Candidates: c.candidates, Current: c.current, Avoid: c.avoid, Prompt: 10_000, Output: 100})
			is.Equal(got, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

// Guards against a thundering herd: entry VMs with the same load summaries must not all choose one upstream.
func TestPickSpreadsEqualUpstreams(t *testing.T) {
	for _, policy := range []dispatch.Policy{dispatch.PolicySticky, dispatch.PolicyRoundRobin, dispatch.PolicyLeastOutstanding} {
		is := is.New(t)
		p := dispatch.Picker{Policy: policy, Rand: rand.New(rand.NewPCG(1, 1))}
		var r chestnutcleat.PickRequest
		for i := range 9 {
			id := chestnutcleat.UpstreamID(fmt.Sprint("e", i))
			r.Candidates = append(r.Candidates, candidate(id, chestnutcleat.Load{Health: chestnutcleat.HealthUp}, 0))
		}
		count := map[chestnutcleat.UpstreamID]int{}
		for range 900 {
			id, _ := p.Pick(r)
			count[id]++
		}
		for _, n := range count {
			is.True(n < 150)
		}
		is.Equal(len(count), 9)
	}
}
