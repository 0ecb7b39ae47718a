package dispatch

import (
	"container/heap"
	"container/list"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// lowPriorityInterval prevents starvation: while requests above level 0 wait, at least one of lowPriorityInterval grants
// goes to the one of them that has waited longest. Raising their priority instead would put them before all others,
// because their programs are the oldest.
const lowPriorityInterval = 20

// request is a queued acquire request.
type request struct {
	chestnutcleat.AcquireRequest
	level chestnutcleat.Level
	// element is the request's element in queue.lowPriority.
	element  *list.Element
	sequence uint64
	// index is the index in the heap, or -1 if the request is not queued.
	index     int
	cost      time.Duration
	timer     chestnutcleat.Timer
	callbacks []func(chestnutcleat.AcquireReply)
}

// queue orders requests by level, then oldest program, then arrival.
type queue struct {
	items []*request
	// lowPriority lists the requests above level 0 in arrival order.
	lowPriority list.List
	// level0Grants counts consecutive grants to level 0 while requests above level 0 were queued.
	level0Grants int
	fifo         bool
	// level0Cost is the total expected run time of the queued requests of level 0.
	level0Cost time.Duration
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
		r.element = q.lowPriority.PushBack(r)
		return
	}
	q.level0Cost += r.cost
}

func (q *queue) remove(r *request) {
	if r.index < 0 {
		return
	}
	heap.Remove(q, r.index)
	q.dequeued(r)
}

// dequeued updates the bookkeeping after a request has left the heap and stops its timer.
func (q *queue) dequeued(r *request) {
	if r.level > 0 {
		q.lowPriority.Remove(r.element)
	} else {
		q.level0Cost -= r.cost
	}
	if r.timer != nil {
		r.timer.Stop()
	}
}

// next removes and returns the first request that allowed accepts, or nil. If reserved is set, a request above level 0 is
// returned only when its turn has come, see dueLowPriority.
func (q *queue) next(reserved bool, allowed func(*request) bool) *request {
	if r := q.dueLowPriority(allowed); r != nil {
		q.level0Grants = 0
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
		q.level0Grants++
		if found.level > 0 || q.lowPriority.Len() == 0 {
			q.level0Grants = 0
		}
		q.dequeued(found)
	}
	return found
}

// dueLowPriority returns the longest waiting request above level 0 if the next grant belongs to one, otherwise nil.
func (q *queue) dueLowPriority(allowed func(*request) bool) *request {
	if q.level0Grants < lowPriorityInterval-1 {
		return nil
	}
	for e := q.lowPriority.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*request); allowed(r) {
			return r
		}
	}
	return nil
}

// level0Len returns the number of queued requests of level 0.
func (q *queue) level0Len() int { return len(q.items) - q.lowPriority.Len() }

// costAhead returns the total expected run time of the queued requests that would be served before r.
func (q *queue) costAhead(r *request) time.Duration {
	var sum time.Duration
	for _, o := range q.items {
		if q.before(o, r) {
			sum += o.cost
		}
	}
	return sum
}
