package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// account is the state of one customer.
type account struct {
	id   chestnutcleat.CustomerID
	slot chestnutcleat.Slot
	// strict never holds more than the customer may use.
	strict bucket
	// hope is what the bucket would hold in addition if a lost owner had used nothing of its reservation; a request
	// that only hope admits waits until strict holds its tokens.
	hope float64
	// held is what may still be admitted under the stored reservation.
	held float64
	// pending is what may still be admitted under the reservation being stored.
	pending *float64
	// recorded is what strict held in the stored record.
	recorded float64
	sequence chestnutcleat.Sequence
	queue    []*waiter
	waiting  map[chestnutcleat.RequestID]*waiter
	recent   recent
	reports  recent
	usage    counter
	demand   demand
	weight   float64
	behind   bool
	timer    chestnutcleat.Timer
	renewal  chestnutcleat.Timer
	// frozen is set after Export; the next owner decides.
	frozen bool
	gone   bool
}

// waiter is a take that is not decided yet.
type waiter struct {
	id    chestnutcleat.RequestID
	count float64
	done  []func(chestnutcleat.TakeReply)
}

func (w *waiter) reply(r chestnutcleat.TakeReply) {
	for _, f := range w.done {
		f(r)
	}
}

func (a *account) queued() float64 {
	sum := 0.0
	for _, w := range a.queue {
		sum += w.count
	}
	return sum
}

func (a *account) refill(now time.Time) {
	a.strict.refill(now)
	a.hope = max(0, min(a.hope, a.strict.burst-a.strict.tokens))
}

// available returns the tokens that a new request may count on.
func (a *account) available() float64 { return a.strict.tokens + a.hope - a.queued() }

// wait returns when a new request would get its tokens after those that wait already.
func (a *account) wait(count float64) time.Duration {
	if count > a.strict.burst+rounding {
		return math.MaxInt64
	}
	return a.strict.until(a.queued() + count)
}

// admit takes the tokens of the first waiter.
func (a *account) admit(now time.Time) *waiter {
	w := a.queue[0]
	a.queue = a.queue[1:]
	delete(a.waiting, w.id)
	a.strict.tokens -= w.count
	a.held -= w.count
	if a.pending != nil {
		*a.pending -= w.count
	}
	a.recent.add(w.id, now)
	a.demand.begin(w.id, now)
	return w
}
