package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// moveCostFactor is the factor by which the wait saved must exceed the repeated prefill before a program moves to
	// another upstream. It is above 1 because a move also evicts cached prefixes of other programs.
	moveCostFactor = 8
	// defaultPrefill and defaultDecode are used if the manifest gives no speed, in tokens per second.
	defaultPrefill = 4000
	defaultDecode  = 40
)

// Picker chooses upstreams by their load summaries. It is not safe for concurrent use.
type Picker struct {
	Policy Policy
	Rand   *rand.Rand

	next int
}

var _ chestnutcleat.Picker = (*Picker)(nil)

// Pick implements chestnutcleat.Picker.
func (p *Picker) Pick(r chestnutcleat.PickRequest) (chestnutcleat.UpstreamID, bool) {
	switch p.Policy {
	case PolicyRoundRobin:
		return p.roundRobin(r)
	case PolicyLeastOutstanding:
		return p.leastOutstanding(r)
	}
	return p.sticky(r)
}

// sticky keeps a program on its current upstream unless waiting there costs far more than moving.
func (p *Picker) sticky(r chestnutcleat.PickRequest) (chestnutcleat.UpstreamID, bool) {
	best, second, current := -1, -1, -1
	bestCost, secondCost := math.Inf(1), math.Inf(1)
	// A random start spreads requests evenly over equal candidates.
	start := p.start(len(r.Candidates))
	for k := range r.Candidates {
		i := (start + k) % len(r.Candidates)
		c := &r.Candidates[i]
		if !usable(c, r.Avoid) {
			continue
		}
		if c.Upstream.ID == r.Current {
			current = i
		}
		v := cost(c, r.Prompt, r.Output)
		switch {
		case v < bestCost:
			second, secondCost = best, bestCost
			best, bestCost = i, v
		case v < secondCost:
			second, secondCost = i, v
		}
	}
	if best < 0 {
		return "", false
	}
	if current >= 0 && !worthMoving(&r.Candidates[current], &r.Candidates[best], r) {
		return r.Current, true
	}
	if p.preferSecond(r, best, second, bestCost, secondCost) {
		best = second
	}
	return r.Candidates[best].Upstream.ID, true
}

func (p *Picker) start(n int) int {
	if p.Rand == nil || n == 0 {
		return 0
	}
	return p.Rand.IntN(n)
}

// preferSecond returns true half of the time if the second best candidate is nearly as good as the best, so that the
// entry VMs do not all choose the same one between two load summaries.
func (p *Picker) preferSecond(r chestnutcleat.PickRequest, best, second int, bestCost, secondCost float64) bool {
	if second < 0 || p.Rand == nil || r.Candidates[best].Cached > 0 {
		return false
	}
	return secondCost-bestCost < 0.1*bestCost && p.Rand.IntN(2) == 0
}

// worthMoving reports whether the wait that a move saves exceeds its cost: the repeated prefill and the evictions.
func worthMoving(current, best *chestnutcleat.Candidate, r chestnutcleat.PickRequest) bool {
	if current == best {
		return false
	}
	waitSaved := (current.Load.Wait - best.Load.Wait).Seconds()
	repeatedPrefill := max(0, current.Cached-best.Cached)
	evicted := evictions(best, r.Prompt)
	return waitSaved > moveCostFactor*float64(repeatedPrefill)/prefill(&best.Upstream)+float64(evicted)/prefill(&best.Upstream)
}

// evictions returns how many cached tokens a prompt would evict.
func evictions(c *chestnutcleat.Candidate, prompt chestnutcleat.Tokens) chestnutcleat.Tokens {
	if c.Upstream.Cache == 0 {
		return 0
	}
	return min(max(0, prompt-c.Cached), max(0, c.Load.Occupied+prompt-c.Cached-c.Upstream.Cache))
}

// cost returns the expected time in seconds until the response is complete, plus the prefill that its evictions cause
// for other programs.
func cost(c *chestnutcleat.Candidate, prompt, output chestnutcleat.Tokens) float64 {
	u := &c.Upstream
	fresh := max(0, prompt-c.Cached)
	utilization := float64(c.Load.Running+c.Load.Queued) / float64(max(1, u.Slots))
	return c.Load.Wait.Seconds() +
		float64(fresh+evictions(c, prompt))/prefill(u) +
		float64(output)/decode(u) +
		utilization*utilizationCost
}

// utilizationCost is the cost in seconds of full utilization; it ranks upstreams that have no queue.
const utilizationCost = 1.0

func (p *Picker) roundRobin(r chestnutcleat.PickRequest) (chestnutcleat.UpstreamID, bool) {
	for range r.Candidates {
		c := &r.Candidates[p.next%len(r.Candidates)]
		p.next++
		if usable(c, r.Avoid) {
			return c.Upstream.ID, true
		}
	}
	return "", false
}

func (p *Picker) leastOutstanding(r chestnutcleat.PickRequest) (chestnutcleat.UpstreamID, bool) {
	best, load := -1, math.MaxInt
	start := p.start(len(r.Candidates))
	for k := range r.Candidates {
		i := (start + k) % len(r.Candidates)
		c := &r.Candidates[i]
		if n := c.Load.Running + c.Load.Queued; n < load && usable(c, r.Avoid) {
			best, load = i, n
		}
	}
	if best < 0 {
		return "", false
	}
	return r.Candidates[best].Upstream.ID, true
}

func usable(c *chestnutcleat.Candidate, avoid []chestnutcleat.UpstreamID) bool {
	if c.Upstream.Leaving || c.Load.Health == chestnutcleat.HealthDown || c.Load.Health == chestnutcleat.HealthLeaving {
		return false
	}
	if c.Load.Health == chestnutcleat.HealthProbing && c.Load.Running+c.Load.Queued > 0 {
		return false
	}
	return !slices.Contains(avoid, c.Upstream.ID)
}

func prefill(u *chestnutcleat.Upstream) float64 {
	if u.Prefill > 0 {
		return u.Prefill
	}
	return defaultPrefill
}

func decode(u *chestnutcleat.Upstream) float64 {
	if u.Decode > 0 {
		return u.Decode
	}
	return defaultDecode
}

// estimateRunTime returns the expected run time of a request.
func estimateRunTime(u *chestnutcleat.Upstream, prompt, cached, output chestnutcleat.Tokens) time.Duration {
	s := float64(max(0, prompt-cached))/prefill(u) + float64(output)/decode(u)
	return time.Duration(s * float64(time.Second))
}
