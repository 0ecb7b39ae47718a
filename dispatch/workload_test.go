package dispatch_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	simEngines   = 9
	simSlots     = 6
	simCache     = 120_000
	simPrefill   = 4000.0
	simDecode    = 40.0
	simServices  = 3
	simEntryVMs  = 7
	simCustomers = 8
	simPlanPool  = 60
)

// simLoop is an event loop that runs one simulation in one goroutine of a synctest bubble.
type simLoop struct {
	events simEvents
	count  int
}

type simEvent struct {
	at      time.Time
	order   int
	f       func()
	stopped bool
}

// Stop implements chestnutcleat.Timer.
func (e *simEvent) Stop() bool {
	was := e.stopped
	e.stopped = true
	return !was
}

type simEvents []*simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(*simEvent)) }
func (h *simEvents) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

// Post implements chestnutcleat.Loop.
func (l *simLoop) Post(f func()) { l.After(0, f) }

// After implements chestnutcleat.Loop.
func (l *simLoop) After(d time.Duration, f func()) chestnutcleat.Timer {
	l.count++
	e := &simEvent{at: time.Now().Add(d), order: l.count, f: f}
	heap.Push(&l.events, e)
	return e
}

// run processes events until done returns true.
func (l *simLoop) run(done func() bool) {
	for len(l.events) > 0 && !done() {
		e := heap.Pop(&l.events).(*simEvent)
		if e.stopped {
			continue
		}
		e.stopped = true
		time.Sleep(time.Until(e.at))
		e.f()
	}
}

// block is one message of a history.
type block struct {
	digest chestnutcleat.Digest
	tokens chestnutcleat.Tokens
}

// simEngine models the LRU prefix cache of an engine.
type simEngine struct {
	blocks map[chestnutcleat.Digest]*list.Element
	order  list.List
	used   chestnutcleat.Tokens
}

// cached returns the number of tokens of the longest cached prefix.
func (e *simEngine) cached(history []block) chestnutcleat.Tokens {
	sum := chestnutcleat.Tokens(0)
	for _, b := range history {
		if _, ok := e.blocks[b.digest]; !ok {
			break
		}
		sum += b.tokens
	}
	return sum
}

func (e *simEngine) store(history []block) {
	if e.blocks == nil {
		e.blocks = make(map[chestnutcleat.Digest]*list.Element)
	}
	for i := len(history) - 1; i >= 0; i-- {
		b := history[i]
		if x, ok := e.blocks[b.digest]; ok {
			e.order.MoveToFront(x)
			continue
		}
		e.blocks[b.digest] = e.order.PushFront(b)
		e.used += b.tokens
	}
	for e.used > simCache {
		b := e.order.Remove(e.order.Back()).(block)
		delete(e.blocks, b.digest)
		e.used -= b.tokens
	}
}

// plan is the workload of one program or sub-agent; it is the same for all policies.
type plan struct {
	customer int
	at       time.Duration
	turns    []turn
	first    chestnutcleat.Tokens
}

type turn struct {
	input, output chestnutcleat.Tokens
	pause         time.Duration
	service       bool
	children      []*plan
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func pareto(r *rand.Rand, least, most, alpha float64) float64 {
	return min(most, least/math.Pow(1-r.Float64(), 1/alpha))
}

func newPlan(r *rand.Rand, customer, depth int) *plan {
	p := &plan{customer: customer, first: chestnutcleat.Tokens(1000 + r.IntN(3000))}
	n := int(pareto(r, 3, 60, 1.5))
	if depth > 0 {
		n = 1 + r.IntN(4)
	}
	for range n {
		t := turn{input: chestnutcleat.Tokens(200 + r.IntN(1200)), output: chestnutcleat.Tokens(50 + r.IntN(300)), service: r.IntN(2) == 0}
		t.pause = seconds(min(30, r.ExpFloat64()*2))
		if depth == 0 && r.IntN(8) == 0 {
			for range 1 + r.IntN(3) {
				t.children = append(t.children, newPlan(r, customer, 1))
			}
		}
		p.turns = append(p.turns, t)
	}
	return p
}

// ideal returns the latency without queueing and with a perfect cache, and the engine time used.
func (p *plan) ideal() (latency, work float64) {
	fresh := float64(p.first)
	for _, t := range p.turns {
		run := (fresh+float64(t.input))/simPrefill + float64(t.output)/simDecode
		fresh = 0
		longest := 0.0
		for _, c := range t.children {
			l, w := c.ideal()
			longest = max(longest, l)
			work += w
		}
		latency += run + longest + t.pause.Seconds()
		if t.service {
			latency += simServiceTime
		}
		work += run
	}
	return latency, work
}

const simServiceTime = 0.3

// plans generates Poisson arrivals; load is the fraction of the capacity that a perfect cache would give.
func plans(seed uint64, load float64, d time.Duration, greedy float64) []*plan {
	r := rand.New(rand.NewPCG(seed, 1))
	weights := make([]float64, simCustomers)
	total := 0.0
	for i := range weights {
		weights[i] = 7.5
		if i < 2 {
			weights[i] = 27.5
		}
		total += weights[i]
	}
	// All customers draw from one pool of programs, so that their results differ only in how they are served.
	var pool []*plan
	work := 0.0
	for range simPlanPool {
		p := newPlan(r, 0, 0)
		_, w := p.ideal()
		work += w
		pool = append(pool, p)
	}
	rate := load * simEngines * simSlots / (work / simPlanPool)
	var out []*plan
	for c, w := range weights {
		// Each customer has its own random source, so that extra load of one leaves the others' programs unchanged.
		r := rand.New(rand.NewPCG(seed, uint64(c)+10))
		share := rate * w / total
		if c == 2 && greedy > 0 {
			share *= greedy
		}
		var permutation []int
		for at := 0.0; ; {
			at += r.ExpFloat64() / share
			if at > d.Seconds() {
				break
			}
			if len(permutation) == 0 {
				permutation = r.Perm(simPlanPool)
			}
			p := pool[permutation[0]].copyFor(c)
			permutation = permutation[1:]
			p.at = seconds(at)
			out = append(out, p)
		}
	}
	return out
}

// copyFor returns a deep copy of the plan for a customer.
func (p *plan) copyFor(customer int) *plan {
	c := *p
	c.customer = customer
	c.turns = slices.Clone(p.turns)
	for i, t := range c.turns {
		c.turns[i].children = nil
		for _, x := range t.children {
			c.turns[i].children = append(c.turns[i].children, x.copyFor(customer))
		}
	}
	return &c
}

func customerName(c int) chestnutcleat.CustomerID {
	return chestnutcleat.CustomerID(fmt.Sprint("c", c))
}
