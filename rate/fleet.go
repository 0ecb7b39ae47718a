package rate

import (
	"math"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

const (
	// demandTime is the time over which demand is averaged.
	demandTime = 300 * time.Millisecond
	// reserveTime is the demand that a VM wants to hold tokens for.
	reserveTime = 150 * time.Millisecond
	// leastReserve is what a VM without demand wants to hold.
	leastReserve = 1
	// askShare is the part of the wanted tokens below which a VM asks others.
	askShare = 0.75
	// keepTime is the demand that a VM keeps tokens for when another one asks.
	keepTime = 100 * time.Millisecond
	// maxRetry bounds when a refused caller is told to come back; its demand may have ended by then.
	maxRetry = time.Second
	// dryTime is how long requests do not wait for tokens after one waited in vain.
	dryTime = 100 * time.Millisecond
	// askSpacing is the least time between two requests for tokens of one customer.
	askSpacing = 20 * time.Millisecond
	// generous is how many times its even part of a need a VM gives, as others may have nothing to give.
	generous = 1
)

// Tokens are admissions, by customer.
type Tokens map[chestnutcleat.CustomerID]float64

// Fleet admits, in each window, at most the customer's rate times the window plus its burst over all VMs. Each VM has an even
// share of that, and lends what it does not need to VMs that ask. A lent token counts as used by the lender, and the borrower
// uses it at once or not at all, so that no cut, loss or restart lets the fleet admit more.
type Fleet struct {
	// Window is the span over which rates hold.
	Window time.Duration

	mu        sync.Mutex
	vms       int
	started   time.Time
	customers map[chestnutcleat.CustomerID]*account
	// given is closed when tokens arrive.
	given chan struct{}
}

type account struct {
	// whole is what the fleet may admit in a window, rate its part per second.
	whole, rate float64
	used        window
	borrowed    []loan
	// demand is in requests per second, as of the time at.
	demand float64
	at     time.Time
	asked  time.Time
	// dry is when a request last waited in vain for tokens of other VMs.
	dry time.Time
}

// loan is tokens of another VM that are used until a time.
type loan struct {
	tokens float64
	until  time.Time
}

// NewFleet returns a limiter. What the process before it admitted is not known, so its share opens over one window.
func NewFleet(w time.Duration) *Fleet {
	return &Fleet{Window: w, started: time.Now(), customers: map[chestnutcleat.CustomerID]*account{}, given: make(chan struct{})}
}

// SetVMs tells how many VMs share the rates, this one included. Nothing is admitted before.
func (f *Fleet) SetVMs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = n
}

// Set replaces the customers with a rate.
func (f *Fleet) Set(list []config.Customer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[chestnutcleat.CustomerID]*account, len(list))
	for _, c := range list {
		if c.Rate <= 0 {
			continue
		}
		whole := c.Rate*f.Window.Seconds() + c.Burst
		a := f.customers[c.ID]
		if a == nil {
			a = &account{at: time.Now(), used: window{length: f.Window}}
		} else if whole < a.whole {
			// What was admitted under the higher limit must not stop the customer for a window under the lower one.
			a.used.scale(whole / a.whole)
		}
		a.whole, a.rate = whole, whole/f.Window.Seconds()
		next[c.ID] = a
	}
	f.customers = next
}

// share is what this VM may admit of a customer's tokens in a window.
func (f *Fleet) share(a *account, now time.Time) float64 {
	if f.vms == 0 {
		return 0
	}
	opened := min(1, now.Sub(f.started).Seconds()/f.Window.Seconds())
	return a.whole / float64(f.vms) * opened
}

// advance brings an account to the present and returns the tokens of its own share that are left.
func (f *Fleet) advance(a *account, now time.Time) float64 {
	passed := now.Sub(a.at)
	a.at = now
	a.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	a.used.forget(now)
	n := 0
	for n < len(a.borrowed) && !now.Before(a.borrowed[n].until) {
		n++
	}
	a.borrowed = a.borrowed[n:]
	return f.share(a, now) - a.used.total
}

// lent is what is left of other VMs' tokens.
func (a *account) lent() float64 {
	total := 0.0
	for _, l := range a.borrowed {
		total += l.tokens
	}
	return total
}

// reserve is what this VM wants to hold of a customer's tokens.
func (f *Fleet) reserve(a *account) float64 {
	return max(leastReserve, a.demand*reserveTime.Seconds())
}

// need is what this VM asks others for beside its own tokens that are left.
func (f *Fleet) need(a *account, own float64) float64 {
	if left := own + a.lent(); left < f.reserve(a)*askShare {
		return f.reserve(a) - left
	}
	return 0
}

// take uses one token, other VMs' first, as they must be used soon.
func (a *account) take(own float64, now time.Time) bool {
	for i := range a.borrowed {
		if a.borrowed[i].tokens >= 1 {
			a.borrowed[i].tokens--
			return true
		}
	}
	if own < 1 {
		return false
	}
	a.used.add(now, 1)
	return true
}

// Decision tells what becomes of a request.
type Decision struct {
	Admitted bool
	// Ask is set when other VMs should be asked for tokens.
	Ask bool
	// Given is closed when tokens arrive that may admit the request; nil when waiting is of no use.
	Given <-chan struct{}
	// Retry is when a refused caller should come back.
	Retry time.Duration
}

// Admit counts one request.
func (f *Fleet) Admit(c chestnutcleat.CustomerID) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.customers[c]
	if a == nil {
		return Decision{Admitted: true}
	}
	now := time.Now()
	own := f.advance(a, now)
	a.demand += 1 / demandTime.Seconds()
	var d Decision
	switch {
	case a.take(own, now):
		d.Admitted = true
	case f.vms > 1 && now.Sub(a.dry) > dryTime:
		d.Given = f.given
	}
	if !d.Admitted {
		// All VMs together admit at the customer's rate, in the order in which its callers come back.
		d.Retry = min(maxRetry, time.Duration(max(1, f.reserve(a))/a.rate*float64(time.Second)))
	}
	if f.vms > 1 && f.need(a, own) > 0 && now.Sub(a.asked) >= askSpacing {
		a.asked = now
		d.Ask = true
	}
	return d
}

// Dry tells that a request waited in vain for tokens of other VMs, so that those after it need not wait.
func (f *Fleet) Dry(c chestnutcleat.CustomerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.customers[c]; a != nil {
		a.dry = time.Now()
	}
}

// Needs returns the tokens that this VM asks others for.
func (f *Fleet) Needs() Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	needs := Tokens{}
	now := time.Now()
	for c, a := range f.customers {
		if n := f.need(a, f.advance(a, now)); f.vms > 1 && n > 0 {
			needs[c] = math.Ceil(n)
		}
	}
	return needs
}

// Give takes off and returns the tokens that this VM can spare of what another one needs; givers is the number of VMs asked.
func (f *Fleet) Give(needs Tokens, givers int) Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	given := Tokens{}
	now := time.Now()
	for c, need := range needs {
		a := f.customers[c]
		if a == nil {
			continue
		}
		spare := f.advance(a, now) - a.demand*keepTime.Seconds()
		if n := math.Floor(min(spare, math.Ceil(generous*need/float64(max(1, givers))))); n >= 1 {
			a.used.add(now.Add(holdTime), n)
			given[c] = n
		}
	}
	return given
}

// Take adds tokens that another VM gave for what this VM asked at a time; they are worth nothing a little later.
func (f *Fleet) Take(given Tokens, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := asked.Add(takeTime)
	if asked.After(time.Now()) || !time.Now().Before(until) {
		return
	}
	for c, n := range given {
		if a := f.customers[c]; a != nil && n > 0 {
			a.borrowed = append(a.borrowed, loan{tokens: n, until: until})
		}
	}
	close(f.given)
	f.given = make(chan struct{})
}
