package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// shareFactor and demandFactor are how far above the others' a customer's service and open calls per weight must
	// be for it to fall behind. Service alone cannot tell a customer that sends too much from one that is above its share
	// by chance: at 1.3 the latter fell behind too, and at 2 the former got twice its share of a full fleet.
	shareFactor  = 1
	demandFactor = 2.5
	// activeUsage is the counter above which a customer counts as active, in seconds of one engine's time.
	activeUsage = 0.01
	// reserveTime is how much use is reserved ahead; a lost owner costs its customers at most this much.
	reserveTime = time.Second
	// minReserve keeps customers with a small rate from storing a record for every request.
	minReserve = 2
	// reserveRetry is the pause after a reservation that could not be stored.
	reserveRetry = 100 * time.Millisecond
	// maxWait bounds the wait for tokens that were counted as used when an owner was lost.
	maxWait = 5 * time.Second
)

// Book holds the buckets and service counters of the customers that this VM owns.
type Book struct {
	Loop     chestnutcleat.Loop
	Journal  chestnutcleat.Journal
	Customer func(chestnutcleat.CustomerID) (chestnutcleat.Customer, bool)
	Observer chestnutcleat.Observer
	// VM names this VM in gossip summaries.
	VM chestnutcleat.VMID

	accounts map[chestnutcleat.CustomerID]*account
	// unsure holds slots whose records may be missing; their other customers start with an empty bucket.
	unsure      map[chestnutcleat.Slot]bool
	remote      map[chestnutcleat.VMID]summary
	localAt     time.Time
	localSum    float64
	localWeight float64
	localOpen   float64
	localActive int
}

var _ chestnutcleat.Owned = (*Book)(nil)

// Take asks for tokens; done runs exactly once.
func (b *Book) Take(r chestnutcleat.TakeRequest, done func(chestnutcleat.TakeReply)) {
	now := time.Now()
	a, ok := b.account(r.Customer, now)
	if !ok {
		done(chestnutcleat.TakeReply{})
		return
	}
	if a.recent.has(r.ID, now) {
		done(chestnutcleat.TakeReply{Admitted: true, Level: b.level(a, now)})
		return
	}
	if w, ok := a.waiting[r.ID]; ok && r.ID != "" {
		w.done = append(w.done, done)
		return
	}
	count := float64(max(1, r.Count))
	w := &waiter{id: r.ID, count: count, done: []func(chestnutcleat.TakeReply){done}}
	if a.frozen {
		a.enqueue(w)
		return
	}
	a.refill(now)
	wait := a.wait(count)
	if a.available() < count-rounding || wait > maxWait {
		done(chestnutcleat.TakeReply{Level: b.level(a, now), Retry: retry(wait)})
		return
	}
	a.enqueue(w)
	b.pump(a)
}

// Usage ends a call and adds the service that its customer received; a repeated report counts once.
func (b *Book) Usage(r chestnutcleat.UsageReport) {
	now := time.Now()
	a, ok := b.account(r.Customer, now)
	if !ok {
		return
	}
	a.demand.end(r.Take)
	if a.reports.has(r.ID, now) || math.IsNaN(r.Cost) || r.Cost <= 0 {
		return
	}
	a.reports.add(r.ID, now)
	a.usage.add(r.Cost, now)
}

// Refresh applies a new manifest to all customers; without it a change counts from the customer's next request.
func (b *Book) Refresh() {
	now := time.Now()
	for id, a := range b.accounts {
		if c, ok := b.Customer(id); ok {
			b.configure(a, c, now)
		}
	}
}

// account returns the account of a customer with the manifest's present rate.
func (b *Book) account(id chestnutcleat.CustomerID, now time.Time) (*account, bool) {
	c, ok := b.Customer(id)
	if !ok {
		return nil, false
	}
	a, ok := b.accounts[id]
	if !ok {
		a = newAccount(id)
		a.strict = bucket{tokens: c.Burst, rate: c.Rate, burst: c.Burst, at: now}
		if b.unsure[a.slot] {
			a.strict.tokens, a.hope = 0, c.Burst
		}
		b.put(a)
	}
	b.configure(a, c, now)
	return a, true
}

func (b *Book) put(a *account) {
	if b.accounts == nil {
		b.accounts = make(map[chestnutcleat.CustomerID]*account)
	}
	b.accounts[a.id] = a
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

// configure applies a changed rate or burst. The time since the last refill is credited at the lower rate,
// as the moment of the change is not known exactly.
func (b *Book) configure(a *account, c chestnutcleat.Customer, now time.Time) {
	a.weight = 1
	if c.Weight > 0 {
		a.weight = c.Weight
	}
	if a.strict.rate == c.Rate && a.strict.burst == c.Burst {
		return
	}
	a.strict.rate = min(a.strict.rate, c.Rate)
	a.strict.burst = min(a.strict.burst, c.Burst)
	a.refill(now)
	a.strict.set(c.Rate, c.Burst)
	b.emit(event.RateChanged, "customer", a.id, "rate", c.Rate, "burst", c.Burst)
}

// pump admits waiters as long as tokens and the reservation allow it.
func (b *Book) pump(a *account) {
	if a.gone || a.frozen {
		return
	}
	now := time.Now()
	a.refill(now)
	for len(a.queue) > 0 {
		n := a.queue[0].count
		if d := a.strict.until(n); d > 0 {
			b.later(a, d)
			break
		}
		if a.held < n-rounding {
			break
		}
		w := a.admit(now)
		w.reply(chestnutcleat.TakeReply{Admitted: true, Level: b.level(a, now)})
	}
	if a.held < b.reserveSize(a)/2 || (len(a.queue) > 0 && a.held < a.queue[0].count) {
		b.reserve(a)
	}
}

func (b *Book) later(a *account, d time.Duration) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = b.Loop.After(d, func() { b.pump(a) })
}

func (b *Book) levelEvent(a *account) {
	id := event.LevelRestored
	if a.behind {
		id = event.LevelRaised
	}
	b.emit(id, "customer", a.id)
}

func (b *Book) emit(id chestnutcleat.EventID, attributes ...any) {
	if b.Observer != nil {
		b.Observer.Emit(id, attributes...)
	}
}

// retry removes the value that stands for never.
func retry(d time.Duration) time.Duration {
	if d == math.MaxInt64 {
		return 0
	}
	return d
}
