package dispatch

import (
	"container/heap"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ageing is how long a request waits before it rises one level. With 10 s the requests of a customer that sends
// five times its rate rose as fast as they were held back.
const ageing = 40 * time.Second

// request is a queued acquire.
type request struct {
	chestnutcleat.AcquireRequest
	level    chestnutcleat.Level
	arrived  time.Time
	risen    time.Time
	sequence uint64
	// index is the place in the heap, or -1.
	index int
	cost  time.Duration
	timer chestnutcleat.Timer
	done  []func(chestnutcleat.AcquireReply)
}

// queue orders requests by level, then oldest program, then arrival.
type queue struct {
	items []*request
	// ageing holds requests above level 0 in the order of their last rise.
	ageing []*request
	fifo   bool
	cost   time.Duration
}

var _ heap.Interface = (*queue)(nil)

// Len implements sort.Interface.
func (q *queue) Len() int { return len(q.items) }

// Less implements sort.Interface.
func (q *queue) Less(i, j int) bool { return q.before(q.items[i], q.items[j]) }

// Swap implements sort.Interface.
func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index = i
	q.items[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*request)
	r.index = len(q.items)
	q.items = append(q.items, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	r := q.items[n]
	q.items[n] = nil
	q.items = q.items[:n]
	r.index = -1
	return r
}

func (q *queue) before(a, b *request) bool {
	if q.fifo {
		return a.sequence < b.sequence
	}
	if a.level != b.level {
		return a.level < b.level
	}
	if !a.Started.Equal(b.Started) {
		return a.Started.Before(b.Started)
	}
	return a.sequence < b.sequence
}

func (q *queue) add(r *request) {
	heap.Push(q, r)
	q.cost += r.cost
	if r.level > 0 {
		q.ageing = append(q.ageing, r)
	}
}

func (q *queue) remove(r *request) {
	if r.index < 0 {
		return
	}
	heap.Remove(q, r.index)
	q.cost -= r.cost
	if r.timer != nil {
		r.timer.Stop()
	}
}

// age raises requests that have waited long.
func (q *queue) age(now time.Time) {
	for len(q.ageing) > 0 {
		r := q.ageing[0]
		if r.index >= 0 && now.Sub(r.risen) < ageing {
			return
		}
		q.ageing = q.ageing[1:]
		if r.index < 0 {
			continue
		}
		r.level--
		r.risen = now
		heap.Fix(q, r.index)
		if r.level > 0 {
			q.ageing = append(q.ageing, r)
		}
	}
}

// next removes and returns the first request that allowed accepts.
func (q *queue) next(now time.Time, allowed func(*request) bool) *request {
	q.age(now)
	var skipped []*request
	var found *request
	for len(q.items) > 0 && found == nil {
		r := q.items[0]
		heap.Pop(q)
		if allowed(r) {
			found = r
			break
		}
		skipped = append(skipped, r)
	}
	for _, r := range skipped {
		heap.Push(q, r)
	}
	if found != nil {
		q.cost -= found.cost
		if found.timer != nil {
			found.timer.Stop()
		}
	}
	return found
}

// ahead returns the expected run time of the requests that would be served before r.
func (q *queue) ahead(r *request) time.Duration {
	var sum time.Duration
	for _, o := range q.items {
		if q.before(o, r) {
			sum += o.cost
		}
	}
	return sum
}
