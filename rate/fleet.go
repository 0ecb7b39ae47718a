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
	demandTime = 500 * time.Millisecond
	// reserveTime is the demand that a VM holds tokens for; it asks other VMs for more when half of that is left.
	reserveTime = 600 * time.Millisecond
	// keepTime is the demand that a VM keeps tokens for when another one asks.
	keepTime = 400 * time.Millisecond
	// maxRetry bounds when a refused caller is told to come back; its demand may have ended by then.
	maxRetry = time.Second
	// askSpacing is the least time between two requests for tokens of one customer.
	askSpacing = 20 * time.Millisecond
	// keepShare is the part of its own burst that a VM without demand keeps.
	keepShare = 0.25
	// generous is how many times its even part of a need a VM gives, as others may have nothing to give.
	generous = 2
)

// Tokens are admissions, by customer.
type Tokens map[chestnutcleat.CustomerID]float64

// Fleet admits requests of customers. Each VM has an even share of the rate and burst, and gives what it does not need to VMs
// that ask. A token is given by taking it off first, so that no cut, loss or restart lets the fleet admit more than the rate.
type Fleet struct {
	mu        sync.Mutex
	vms       int
	customers map[chestnutcleat.CustomerID]*account
}

type account struct {
	// rate and burst are those of the whole fleet.
	rate, burst float64
	// level is what this VM may admit at the moment.
	level float64
	at    time.Time
	// demand is in requests per second, as of the time at.
	demand float64
	asked  time.Time
}

// NewFleet returns a limiter that begins without tokens, so that a restart of all VMs admits no second burst.
func NewFleet() *Fleet {
	return &Fleet{customers: map[chestnutcleat.CustomerID]*account{}}
}

// SetVMs tells how many VMs share the rates, this one included. Nothing is admitted before.
func (f *Fleet) SetVMs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, a := range f.customers {
		f.advance(a, now)
	}
	f.vms = n
}

// Set replaces the customers with a rate.
func (f *Fleet) Set(list []config.Customer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	next := make(map[chestnutcleat.CustomerID]*account, len(list))
	for _, c := range list {
		if c.Rate <= 0 {
			continue
		}
		a := f.customers[c.ID]
		if a == nil {
			a = &account{at: now}
		}
		f.advance(a, now)
		a.rate, a.burst = c.Rate, c.Burst
		if f.vms > 0 {
			a.level = min(a.level, f.share(a.burst))
		}
		next[c.ID] = a
	}
	f.customers = next
}

func (f *Fleet) share(whole float64) float64 { return whole / float64(f.vms) }

// advance adds what the rate gave since the last time. Tokens that were given by other VMs stay above the own burst.
func (f *Fleet) advance(a *account, now time.Time) {
	passed := now.Sub(a.at)
	a.at = now
	a.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	if f.vms == 0 {
		return
	}
	a.level = max(a.level, min(f.share(a.burst), a.level+passed.Seconds()*f.share(a.rate)))
}

// reserve is what this VM wants to hold of a customer's tokens.
func (f *Fleet) reserve(a *account) float64 {
	return min(a.burst, max(f.share(a.burst)/2, a.demand*reserveTime.Seconds()))
}

// Admit counts one request, or returns after what time to come back. Ask is set when other VMs should be asked for tokens.
func (f *Fleet) Admit(c chestnutcleat.CustomerID) (ok, ask bool, retry time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.customers[c]
	if a == nil {
		return true, false, 0
	}
	now := time.Now()
	f.advance(a, now)
	a.demand += 1 / demandTime.Seconds()
	if ok = a.level >= 1; ok {
		a.level--
	} else {
		// All VMs together admit at the customer's rate, in the order in which its callers come back.
		retry = min(maxRetry, time.Duration(max(1, a.demand*reserveTime.Seconds())/a.rate*float64(time.Second)))
	}
	if f.vms > 1 && a.level < f.reserve(a)/2 && now.Sub(a.asked) >= askSpacing {
		a.asked = now
		ask = true
	}
	return ok, ask, retry
}

// Needs returns the tokens that this VM asks others for.
func (f *Fleet) Needs() Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	needs := Tokens{}
	now := time.Now()
	for c, a := range f.customers {
		f.advance(a, now)
		if f.vms > 1 && a.level < f.reserve(a)/2 {
			needs[c] = math.Ceil(f.reserve(a) - a.level)
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
		if a == nil || f.vms == 0 {
			continue
		}
		f.advance(a, now)
		spare := a.level - a.demand*keepTime.Seconds() - f.share(a.burst)*keepShare
		if n := math.Floor(min(spare, math.Ceil(generous*need/float64(max(1, givers))))); n >= 1 {
			a.level -= n
			given[c] = n
		}
	}
	return given
}

// Take adds tokens that another VM gave.
func (f *Fleet) Take(given Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for c, n := range given {
		if a := f.customers[c]; a != nil && n > 0 {
			f.advance(a, now)
			a.level = min(a.burst, a.level+n)
		}
	}
}
