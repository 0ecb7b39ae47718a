package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
	"chestnutcleat.example/chestnutcleat/limit"
)

// variant is a policy under test; variants differ only in what the simulation passes to the Scheduler and the Picker.
type variant struct {
	name          string
	policy        dispatch.Policy
	fair          bool // pass the customer's level to the queue
	equal         bool // all customers have the same weight, instead of one in proportion to their rate
	hedge         bool // new programs queue at two upstreams and take the first ticket
	leastAttained bool // least attained service first instead of oldest program first
	neverMove     bool // always stay on the first upstream
	freeChoice    bool // ignore the current upstream in each choice
}

type scenario struct {
	seed     uint64
	load     float64
	duration time.Duration
	greedy   float64 // factor on the rate of customer 2
	limited  bool    // the customers' limits are twice their usual rate
}

type result struct {
	customer int
	latency  float64
	slowdown float64
}

type simulation struct {
	variant
	scenario
	loop      *simLoop
	scheduler *dispatch.Scheduler
	limits    *limit.Limiter
	upstreams map[chestnutcleat.UpstreamID]chestnutcleat.Upstream
	engines   map[chestnutcleat.UpstreamID]*simEngine
	// upstreamIDs holds the ids of the engines and then those of the services.
	upstreamIDs [2][]chestnutcleat.UpstreamID
	// pickers and views hold the picker and the known load summaries of each entry VM.
	pickers []*dispatch.Picker
	views   []map[chestnutcleat.UpstreamID]chestnutcleat.Load
	random  *rand.Rand
	// lastID is the number of ids assigned so far.
	lastID       int
	openPrograms int
	results      []result
	prompt       float64
	wasted       float64
	moves        int
	refused      int
	dropped      int
	// service is the engine time of each customer until the last arrival.
	service [simCustomers]time.Duration
	begun   time.Time
	// longest is the longest queueing time of a request.
	longest time.Duration
}

// branch is a running program or sub-agent.
type branch struct {
	*plan
	number  int
	entry   int
	started time.Time
	program *attained
	history []block
	current chestnutcleat.UpstreamID
	cached  chestnutcleat.Tokens
	done    func()
	// fresh is set for a program and false for a sub-agent.
	fresh bool
	// take is the id of the take request that admitted the current call.
	take chestnutcleat.RequestID
}

type attained struct{ service time.Duration }

// Append implements chestnutcleat.Journal with a delay of 1 ms.
func (s *simulation) Append(_ []chestnutcleat.Record, done func(error)) {
	s.loop.After(time.Millisecond, func() { done(nil) })
}

func simulate(t *testing.T, v variant, c scenario) (out *simulation) {
	synctest.Test(t, func(*testing.T) {
		out = newSimulation(v, c)
		out.run()
	})
	return out
}

func newSimulation(v variant, c scenario) *simulation {
	s := &simulation{variant: v, scenario: c, loop: &simLoop{}, random: rand.New(rand.NewPCG(c.seed, 2))}
	s.upstreams = make(map[chestnutcleat.UpstreamID]chestnutcleat.Upstream)
	s.engines = make(map[chestnutcleat.UpstreamID]*simEngine)
	for i := range simEngines {
		id := chestnutcleat.UpstreamID(fmt.Sprint("e", i))
		s.upstreams[id] = chestnutcleat.Upstream{ID: id, Kind: chestnutcleat.UpstreamEngine, Slots: simSlots, Cache: simCache, Prefill: simPrefill, Decode: simDecode}
		s.engines[id] = &simEngine{}
		s.upstreamIDs[0] = append(s.upstreamIDs[0], id)
	}
	for i := range simServices {
		id := chestnutcleat.UpstreamID(fmt.Sprint("s", i))
		s.upstreams[id] = chestnutcleat.Upstream{ID: id, Kind: chestnutcleat.UpstreamService, Slots: 8}
		s.upstreamIDs[1] = append(s.upstreamIDs[1], id)
	}
	s.scheduler = &dispatch.Scheduler{Loop: s.loop, Policy: v.policy, Upstream: func(id chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool) {
		u, ok := s.upstreams[id]
		return u, ok
	}}
	s.limits = &limit.Limiter{Loop: s.loop, Journal: s, VM: "a"}
	for i := range simEntryVMs {
		s.pickers = append(s.pickers, &dispatch.Picker{Policy: v.policy, Rand: rand.New(rand.NewPCG(c.seed, uint64(i)+100))})
		s.views = append(s.views, nil)
	}
	return s
}

func (s *simulation) run() {
	list := plans(s.seed, s.load, s.duration, s.greedy)
	s.begun = time.Now()
	s.setRates()
	s.scheduler.Start()
	for e := range s.views {
		s.loop.After(time.Duration(e)*70*time.Millisecond, func() { s.refresh(e) })
	}
	for i, p := range list {
		s.openPrograms++
		s.loop.After(p.at, func() { s.start(i, p) })
	}
	s.loop.run(func() bool { return s.openPrograms == 0 })
}

// setRates sets the limits and weights from the number of calls without the greedy customer's extra load.
func (s *simulation) setRates() {
	var rates [simCustomers]float64
	for _, p := range plans(s.seed, s.load, s.duration, 0) {
		rates[p.customer] += float64(p.calls()) / s.duration.Seconds()
	}
	s.limits.Customer = func(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
		var c int
		fmt.Sscanf(string(id), "c%d", &c)
		customer := chestnutcleat.Customer{ID: id, Rate: 1e6, Burst: 1e6}
		if s.limited {
			customer.Rate, customer.Burst = 2*rates[c], 60*rates[c]
		}
		if !s.equal {
			customer.Weight = rates[c]
		}
		return customer, true
	}
}

func (p *plan) calls() int {
	n := len(p.turns)
	for _, t := range p.turns {
		for _, c := range t.children {
			n += c.calls()
		}
	}
	return n
}

func (s *simulation) refresh(entry int) {
	v := make(map[chestnutcleat.UpstreamID]chestnutcleat.Load)
	for _, l := range s.scheduler.Loads() {
		v[l.Upstream] = l
	}
	s.views[entry] = v
	s.loop.After(500*time.Millisecond, func() { s.refresh(entry) })
}

func (s *simulation) start(i int, p *plan) {
	b := &branch{plan: p, number: i, entry: i % simEntryVMs, started: time.Now(), program: &attained{}, fresh: true}
	system := block{digest: chestnutcleat.DigestOf(fmt.Append(nil, "system", p.customer)), tokens: 1500}
	b.history = []block{system, s.message(p.first)}
	b.done = func() {
		s.openPrograms--
		ideal, _ := p.ideal()
		latency := time.Since(b.started).Seconds()
		s.results = append(s.results, result{customer: p.customer, latency: latency, slowdown: latency / ideal})
	}
	s.turn(b, 0)
}

func (s *simulation) message(n chestnutcleat.Tokens) block {
	s.lastID++
	return block{digest: chestnutcleat.DigestOf(fmt.Append(nil, s.lastID)), tokens: n}
}

func (s *simulation) turn(b *branch, n int) {
	if n == len(b.turns) {
		b.done()
		return
	}
	t := b.turns[n]
	b.history = append(b.history, s.message(t.input))
	s.admit(b, t, n)
}

func (s *simulation) admit(b *branch, t turn, n int) {
	s.lastID++
	r := chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(fmt.Sprint(s.lastID)), Customer: customerName(b.customer), Count: 1}
	s.limits.Take(r, func(a chestnutcleat.TakeReply) {
		switch {
		case a.Admitted:
			b.take = r.ID
			s.call(b, t, n, a.Level)
		case n == 0 && b.fresh:
			s.openPrograms--
			s.dropped++
		default:
			s.refused++
			s.loop.After(a.Retry+seconds(s.random.Float64()), func() { s.admit(b, t, n) })
		}
	})
}

func (s *simulation) call(b *branch, t turn, n int, level chestnutcleat.Level) {
	prompt := chestnutcleat.Tokens(0)
	var digests []chestnutcleat.Digest
	for _, x := range b.history {
		prompt += x.tokens
		digests = append(digests, x.digest)
	}
	r := chestnutcleat.AcquireRequest{Customer: customerName(b.customer), Started: b.started, History: digests, Prompt: prompt, Output: t.output, Repeatable: true, Timeout: time.Hour}
	if s.fair {
		r.Level = level
	}
	if s.leastAttained {
		r.Started = time.Unix(0, 0).Add(b.program.service)
	}
	r.Upstream = s.pick(b, r, nil)
	granted, asked := false, time.Now()
	var first chestnutcleat.RequestID
	grant := func(other chestnutcleat.RequestID, a chestnutcleat.AcquireReply) {
		if a.Ticket == nil {
			return
		}
		if granted {
			s.scheduler.Release(chestnutcleat.ReleaseRequest{Ticket: *a.Ticket, NotSent: true})
			return
		}
		granted = true
		s.longest = max(s.longest, time.Since(asked))
		s.scheduler.Cancel(other)
		s.execute(b, t, n, prompt, digests, *a.Ticket)
	}
	s.lastID += 2
	r.ID = chestnutcleat.RequestID(fmt.Sprint(s.lastID))
	first = r.ID
	second := chestnutcleat.RequestID(fmt.Sprint(s.lastID - 1))
	s.scheduler.Acquire(r, func(a chestnutcleat.AcquireReply) { grant(second, a) })
	if s.hedge && b.current == "" && !granted {
		r.Upstream, r.ID = s.pick(b, r, []chestnutcleat.UpstreamID{r.Upstream}), second
		s.scheduler.Acquire(r, func(a chestnutcleat.AcquireReply) { grant(first, a) })
	}
}

func (s *simulation) pick(b *branch, r chestnutcleat.AcquireRequest, avoid []chestnutcleat.UpstreamID) chestnutcleat.UpstreamID {
	if s.neverMove && b.current != "" {
		return b.current
	}
	q := chestnutcleat.PickRequest{Current: b.current, Prompt: r.Prompt, Output: r.Output, Avoid: avoid}
	if s.freeChoice {
		q.Current = ""
	}
	for _, id := range s.upstreamIDs[0] {
		c := chestnutcleat.Candidate{Upstream: s.upstreams[id], Load: s.views[b.entry][id]}
		if id == b.current {
			c.Cached = b.cached
		}
		q.Candidates = append(q.Candidates, c)
	}
	id, _ := s.pickers[b.entry].Pick(q)
	return id
}

// execute simulates the call on its engine and continues the branch.
func (s *simulation) execute(b *branch, t turn, n int, prompt chestnutcleat.Tokens, digests []chestnutcleat.Digest, ticket chestnutcleat.Ticket) {
	e := s.engines[ticket.Upstream]
	if b.current != "" && b.current != ticket.Upstream {
		s.moves++
	}
	cached, best := e.cached(b.history), chestnutcleat.Tokens(0)
	for _, o := range s.engines {
		best = max(best, o.cached(b.history))
	}
	s.prompt += float64(prompt)
	s.wasted += float64(max(0, best-cached))
	elapsed := seconds(float64(prompt-cached)/simPrefill + float64(t.output)/simDecode)
	e.store(b.history)
	s.loop.After(elapsed, func() {
		b.history = append(b.history, s.message(t.output))
		e.store(b.history)
		b.program.service += elapsed
		if time.Since(s.begun) <= s.duration {
			s.service[b.customer] += elapsed
		}
		b.current, b.cached = ticket.Upstream, prompt+t.output
		u := chestnutcleat.Usage{Prompt: prompt, Cached: cached, Output: t.output}
		after := append(append([]chestnutcleat.Digest{}, digests...), b.history[len(b.history)-1].digest)
		s.lastID++
		s.limits.Usage(chestnutcleat.UsageReport{ID: chestnutcleat.RequestID(fmt.Sprint(s.lastID)), Customer: customerName(b.customer), Cost: elapsed.Seconds(), TokenRequest: b.take})
		s.scheduler.Release(chestnutcleat.ReleaseRequest{Ticket: ticket, Usage: u, Elapsed: elapsed, History: after})
		s.children(b, t, n)
	})
}

func (s *simulation) children(b *branch, t turn, n int) {
	left := len(t.children)
	if left == 0 {
		s.tool(b, t, n)
		return
	}
	for _, c := range t.children {
		x := &branch{plan: c, number: b.number, entry: b.entry, started: b.started, program: b.program, current: b.current, cached: b.cached}
		x.history = append(append([]block{}, b.history...), s.message(c.first))
		x.done = func() {
			if left--; left == 0 {
				s.tool(b, t, n)
			}
		}
		s.turn(x, 0)
	}
}

// tool simulates the tool call of a turn, which may be a request to a service.
func (s *simulation) tool(b *branch, t turn, n int) {
	next := func() { s.loop.After(t.pause, func() { s.turn(b, n+1) }) }
	if !t.service {
		next()
		return
	}
	s.lastID++
	r := chestnutcleat.AcquireRequest{ID: chestnutcleat.RequestID(fmt.Sprint(s.lastID)), Upstream: s.upstreamIDs[1][s.random.IntN(simServices)], Started: b.started, Timeout: time.Hour, Output: 12, Repeatable: true}
	s.scheduler.Acquire(r, func(a chestnutcleat.AcquireReply) {
		if a.Ticket == nil {
			next()
			return
		}
		s.loop.After(seconds(simServiceTime), func() {
			s.scheduler.Release(chestnutcleat.ReleaseRequest{Ticket: *a.Ticket, Elapsed: seconds(simServiceTime)})
			next()
		})
	})
}
