package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// serviceShareFactor and demandFactor are the multiples of the other customers' service and open calls per weight
	// above which a customer gets level 1; both must be exceeded. Service alone does not distinguish a customer that sends
	// too much from one above its share by chance: with a service factor of 1.3 the latter got level 1 too, and with 2
	// the former got twice its share of a full fleet.
	serviceShareFactor = 1
	demandFactor       = 2.5
	// activeUsage is the decayed usage above which a customer counts as active, in seconds of engine time.
	activeUsage = 0.01
	// reserveWindow is the refill time whose tokens are reserved ahead. If an owner is lost, its customers lose at most
	// about this much.
	reserveWindow = time.Second
	// minReserve is the smallest reservation in tokens; without it, a customer with a low rate would need a record for
	// every request.
	minReserve = 2
	// reserveBackoff is the delay before a retry of a reservation that could not be stored.
	reserveBackoff = 100 * time.Millisecond
	// maxWait is the longest time for which a request waits for tokens that were counted as used when an owner was lost.
	maxWait = 5 * time.Second
)

// Limiter holds the token buckets and usage counters of the customers that this VM owns.
type Limiter struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Customer func(chestnutcleat.CustomerID) (chestnutcleat.Customer, bool)
	Observer chestnutcleat.Observer
	// VM names this VM in gossip summaries.
	VM chestnutcleat.VMID

	accounts map[chestnutcleat.CustomerID]*account
	// incompleteSlots is the set of slots of which records may be missing. A customer of such a slot without a record
	// starts with no confirmed tokens.
	incompleteSlots map[chestnutcleat.Slot]bool
	remote          map[chestnutcleat.VMID]summary
	localAt         time.Time
	localSum        float64
	localWeight     float64
	localOpen       float64
	localActive     int
}

var _ chestnutcleat.SlotState = (*Limiter)(nil)

// Take requests tokens and calls done exactly once.
func (l *Limiter) Take(r chestnutcleat.TakeRequest, done func(chestnutcleat.TakeReply)) {
	now := time.Now()
	a, ok := l.account(r.Customer, now)
	if !ok {
		done(chestnutcleat.TakeReply{})
		return
	}
	if a.recent.has(r.ID, now) {
		done(chestnutcleat.TakeReply{Admitted: true, Level: l.level(a, now)})
		return
	}
	if w, ok := a.waiting[r.ID]; ok && r.ID != "" {
		w.callbacks = append(w.callbacks, done)
		return
	}
	count := float64(max(1, r.Count))
	w := &waiter{id: r.ID, count: count, callbacks: []func(chestnutcleat.TakeReply){done}}
	if a.frozen {
		a.enqueue(w)
		return
	}
	a.refill(now)
	wait := a.waitFor(count)
	if a.available() < count-rounding || wait > maxWait {
		done(chestnutcleat.TakeReply{Level: l.level(a, now), Retry: retryAfter(wait)})
		return
	}
	a.enqueue(w)
	l.admitQueued(a)
}

// Usage ends a call and adds its cost to the customer's usage. A report with a known id is ignored.
func (l *Limiter) Usage(r chestnutcleat.UsageReport) {
	now := time.Now()
	a, ok := l.account(r.Customer, now)
	if !ok {
		return
	}
	a.demand.end(r.TokenRequest)
	if a.reports.has(r.ID, now) || math.IsNaN(r.Cost) || r.Cost <= 0 {
		return
	}
	a.reports.add(r.ID, now)
	a.usage.add(r.Cost, now)
}

// Refresh applies a new manifest to all customers. Otherwise a change applies from the customer's next request.
func (l *Limiter) Refresh() {
	now := time.Now()
	for id, a := range l.accounts {
		if c, ok := l.Customer(id); ok {
			l.configure(a, c, now)
		}
	}
}

// account returns the account of a customer, created on first use and with the manifest's current rate.
func (l *Limiter) account(id chestnutcleat.CustomerID, now time.Time) (*account, bool) {
	c, ok := l.Customer(id)
	if !ok {
		return nil, false
	}
	a, ok := l.accounts[id]
	if !ok {
		a = newAccount(id)
		a.confirmed = bucket{tokens: c.Burst, rate: c.Rate, burst: c.Burst, refilledAt: now}
		if l.incompleteSlots[a.slot] {
			a.confirmed.tokens, a.unconfirmed = 0, c.Burst
		}
		l.put(a)
	}
	l.configure(a, c, now)
	return a, true
}

func (l *Limiter) put(a *account) {
	if l.accounts == nil {
		l.accounts = make(map[chestnutcleat.CustomerID]*account)
	}
	l.accounts[a.id] = a
}

func newAccount(id chestnutcleat.CustomerID) *account {
	return &account{
		id:      id,
		slot:    chestnutcleat.CustomerKey(id).Slot(),
		waiting: make(map[chestnutcleat.RequestID]*waiter),
		weight:  1,
	}
}

func (a *account) enqueue(w *waiter) {
	a.queue = append(a.queue, w)
	if w.id != "" {
		a.waiting[w.id] = w
	}
}

// configure applies a changed rate or burst. The time since the last refill is credited at the lower of both rates,
// because the exact time of the change is unknown.
func (l *Limiter) configure(a *account, c chestnutcleat.Customer, now time.Time) {
	a.weight = 1
	if c.Weight > 0 {
		a.weight = c.Weight
	}
	if a.confirmed.rate == c.Rate && a.confirmed.burst == c.Burst {
		return
	}
	a.confirmed.rate = min(a.confirmed.rate, c.Rate)
	a.confirmed.burst = min(a.confirmed.burst, c.Burst)
	a.refill(now)
	a.confirmed.set(c.Rate, c.Burst)
	l.emit(event.RateChanged, "customer", a.id, "rate", c.Rate, "burst", c.Burst)
}

// admitQueued admits waiters while tokens and the reservation suffice, and renews a reservation that runs low.
func (l *Limiter) admitQueued(a *account) {
	if a.dropped || a.frozen {
		return
	}
	now := time.Now()
	a.refill(now)
	for len(a.queue) > 0 {
		n := a.queue[0].count
		if d := a.confirmed.timeUntil(n); d > 0 {
			l.admitAfter(a, d)
			break
		}
		if a.reservedLeft < n-rounding {
			break
		}
		w := a.admit(now)
		w.reply(chestnutcleat.TakeReply{Admitted: true, Level: l.level(a, now)})
	}
	if a.reservedLeft < l.reserveSize(a)/2 || (len(a.queue) > 0 && a.reservedLeft < a.queue[0].count) {
		l.storeReservation(a)
	}
}

func (l *Limiter) admitAfter(a *account, d time.Duration) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = l.Loop.After(d, func() { l.admitQueued(a) })
}

func (l *Limiter) emitLevelChange(a *account) {
	id := event.ShareRestored
	if a.overShare {
		id = event.ShareExceeded
	}
	l.emit(id, "customer", a.id)
}

func (l *Limiter) emit(id chestnutcleat.EventID, attributes ...any) {
	if l.Observer != nil {
		l.Observer.Emit(id, attributes...)
	}
}

// retryAfter returns d, or 0 if d stands for never.
func retryAfter(d time.Duration) time.Duration {
	if d == math.MaxInt64 {
		return 0
	}
	return d
}
