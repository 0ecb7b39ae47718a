package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// account is the rate limit and fair share state of one customer.
type account struct {
	id   chestnutcleat.CustomerID
	slot chestnutcleat.Slot
	// confirmed is the token bucket; it never holds more tokens than the customer may use.
	confirmed bucket
	// unconfirmed is the number of additional tokens that the bucket would hold if a lost owner had used nothing of its
	// reservation. A request that needs them waits until confirmed holds enough tokens.
	unconfirmed float64
	// reservedLeft is the number of tokens that may still be admitted under the stored reservation.
	reservedLeft float64
	// pendingReservation is the same for the reservation that is being stored; nil if there is none.
	pendingReservation *float64
	// storedTokens is the number of confirmed tokens in the stored record.
	storedTokens float64
	sequence     chestnutcleat.Sequence
	queue        []*waiter
	waiting      map[chestnutcleat.RequestID]*waiter
	recent       recentIDs
	reports      recentIDs
	usage        counter
	demand       demand
	weight       float64
	overShare    bool
	timer        chestnutcleat.Timer
	recordTimer  chestnutcleat.Timer
	// frozen is set by Export: only the next owner admits requests.
	frozen  bool
	dropped bool
}

// waiter is a queued take request.
type waiter struct {
	id        chestnutcleat.RequestID
	count     float64
	callbacks []func(chestnutcleat.TakeReply)
}

func (w *waiter) reply(r chestnutcleat.TakeReply) {
	for _, f := range w.callbacks {
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
	a.confirmed.refill(now)
	a.unconfirmed = max(0, min(a.unconfirmed, a.confirmed.burst-a.confirmed.tokens))
}

// available returns the tokens that a new request may use, including unconfirmed ones and less those of queued requests.
func (a *account) available() float64 { return a.confirmed.tokens + a.unconfirmed - a.queued() }

// waitFor returns how long a new request would wait for its tokens behind the queued ones; math.MaxInt64 means for ever.
func (a *account) waitFor(count float64) time.Duration {
	if count > a.confirmed.burst+rounding {
		return math.MaxInt64
	}
	return a.confirmed.timeUntil(a.queued() + count)
}

// admit removes the first waiter from the queue and takes its tokens.
func (a *account) admit(now time.Time) *waiter {
	w := a.queue[0]
	a.queue = a.queue[1:]
	delete(a.waiting, w.id)
	a.confirmed.tokens -= w.count
	a.reservedLeft -= w.count
	if a.pendingReservation != nil {
		*a.pendingReservation -= w.count
	}
	a.recent.add(w.id, now)
	a.demand.begin(w.id, now)
	return w
}
