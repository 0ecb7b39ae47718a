package dispatch

import (
	"container/heap"
	"container/list"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// heldShare is the bound against starvation: while requests above level 0 wait, at least one of heldShare grants of an
// upstream goes to the one of them that has waited longest. They must not rise instead, as their programs are the
// oldest and would then go before all others.
const heldShare = 20

// request is a queued acquire.
type request struct {
	chestnutcleat.AcquireRequest
	level chestnutcleat.Level
	// element is the place in the queue's list of held requests.
	element  *list.Element
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
	// held holds requests above level 0 in the order of their arrival.
	held list.List
	// passed counts the grants to level 0 since the last one to a higher level while some were held.
	passed int
	fifo   bool
	// cost is the expected run time of the requests of level 0.
	cost time.Duration
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
	if r.level > 0 {
		r.element = q.held.PushBack(r)
		return
	}
	q.cost += r.cost
}

func (q *queue) remove(r *request) {
	if r.index < 0 {
		return
	}
	heap.Remove(q, r.index)
	q.taken(r)
}

// taken updates the sums after a request has left the heap.
func (q *queue) taken(r *request) {
	if r.level > 0 {
		q.held.Remove(r.element)
	} else {
		q.cost -= r.cost
	}
	if r.timer != nil {
		r.timer.Stop()
	}
}

// next removes and returns the first request that allowed accepts. If reserved is set, requests above level 0 get only
// their bounded share.
func (q *queue) next(reserved bool, allowed func(*request) bool) *request {
	if r := q.due(allowed); r != nil {
		q.passed = 0
		q.remove(r)
		return r
	}
	var skipped []*request
	var found *request
	for len(q.items) > 0 && found == nil {
		r := q.items[0]
		if reserved && r.level > 0 {
			break
		}
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
		q.passed++
		if found.level > 0 || q.held.Len() == 0 {
			q.passed = 0
		}
		q.taken(found)
	}
	return found
}

// due returns the longest waiting request above level 0 if it is the turn of those.
func (q *queue) due(allowed func(*request) bool) *request {
	if q.passed < heldShare-1 {
		return nil
	}
	for e := q.held.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*request); allowed(r) {
			return r
		}
	}
	return nil
}

// direct returns how many requests of level 0 wait.
func (q *queue) direct() int { return len(q.items) - q.held.Len() }

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
