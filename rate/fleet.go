package rate

import (
	"context"
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
	reserveTime = 100 * time.Millisecond
	// tokenWait is how long a request waits for tokens of other VMs: some round trips within a region.
	tokenWait = 15 * time.Millisecond
	// keepTime is the demand that a VM keeps tokens for when another one asks.
	keepTime = 100 * time.Millisecond
	// maxRetry bounds when a refused caller is told to come back; its demand may have ended by then.
	maxRetry = time.Second
	// dryTime is how long requests do not wait for tokens after one waited in vain.
	dryTime = 100 * time.Millisecond
	// askSpacing is the least time between two requests for tokens of one customer.
	askSpacing = 4 * time.Millisecond
)

// Tokens are admissions, by customer.
type Tokens map[chestnutcleat.CustomerID]float64

// Fleet admits, in each window, at most the customer's rate times the window plus its burst over all VMs. Each VM has an even
// share of that, and lends what it does not need to VMs that ask. A lent token counts as used by the lender, and the borrower
// uses it at once or not at all, so that no cut, loss or restart lets the fleet admit more.
type Fleet struct {
	// Window is the span over which rates hold.
	Window time.Duration
	// Ask makes the VM tell the others at once what it needs.
	Ask func()

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
	// waiting is the number of requests that wait for tokens of other VMs.
	waiting int
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

// need is what this VM asks others for beside its own tokens that are left: a token for each request that waits, and those
// for what is likely to come before the next summary is answered.
func (a *account) need(own float64) float64 {
	return math.Floor(max(0, float64(a.waiting)+a.demand*reserveTime.Seconds()-max(0, own)-a.lent()))
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

// Admit counts one request, or returns after what time to come back. A request without a token waits a moment for those of
// other VMs, so that a customer below its rate is not refused where it comes first.
func (f *Fleet) Admit(ctx context.Context, c chestnutcleat.CustomerID) (ok bool, retry time.Duration) {
	start := time.Now()
	d := f.try(c, start, false)
	if d.given == nil {
		return d.admitted, d.retry
	}
	t := time.NewTimer(tokenWait)
	defer t.Stop()
	ask := time.NewTicker(askSpacing)
	defer ask.Stop()
	for {
		if d.ask {
			f.Ask()
		}
		select {
		case <-d.given:
		case <-ask.C:
		case <-t.C:
			return f.giveUp(c, true), d.retry
		case <-ctx.Done():
			return f.giveUp(c, false), d.retry
		}
		if d = f.try(c, time.Now(), true); d.given == nil {
			return d.admitted, d.retry
		}
	}
}

// decision tells what becomes of a request.
type decision struct {
	admitted bool
	// ask is set when other VMs should be asked for tokens.
	ask bool
	// given is closed when tokens arrive that may admit the request; nil when the decision is final.
	given <-chan struct{}
	retry time.Duration
}

// try takes a token for a request, which may have waited for one.
func (f *Fleet) try(c chestnutcleat.CustomerID, now time.Time, waited bool) decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.customers[c]
	if a == nil {
		return decision{admitted: true}
	}
	own := f.advance(a, now)
	if waited {
		a.waiting--
	} else {
		a.demand += 1 / demandTime.Seconds()
	}
	if a.take(own, now) {
		return decision{admitted: true, ask: false}
	}
	d := decision{retry: min(maxRetry, time.Duration(max(1, a.demand*demandTime.Seconds())/a.rate*float64(time.Second)))}
	if f.vms > 1 && (waited || now.Sub(a.dry) > dryTime) {
		a.waiting++
		d.given = f.given
		if now.Sub(a.asked) >= askSpacing {
			a.asked = now
			d.ask = true
		}
	}
	return d
}

// giveUp ends the wait of a request. After one that waited in vain others need not wait for a while.
func (f *Fleet) giveUp(c chestnutcleat.CustomerID, vain bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.customers[c]; a != nil {
		a.waiting = max(0, a.waiting-1)
		if vain {
			a.dry = time.Now()
		}
	}
	return false
}

// Needs returns the tokens that this VM asks others for.
func (f *Fleet) Needs() Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	needs := Tokens{}
	now := time.Now()
	for c, a := range f.customers {
		if n := a.need(f.advance(a, now)); f.vms > 1 && n > 0 {
			needs[c] = n
		}
	}
	return needs
}

// Give takes off and returns this VM's part of what another one needs. The parts of all givers add up to the need, as tokens
// that are lent in excess are of use to nobody; place is this VM's among the givers and moves from one request to the next.
func (f *Fleet) Give(needs Tokens, place, givers int) Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	given := Tokens{}
	now := time.Now()
	for c, need := range needs {
		a := f.customers[c]
		if a == nil || givers <= 0 {
			continue
		}
		part := math.Floor(need / float64(givers))
		if float64(place) < need-part*float64(givers) {
			part++
		}
		spare := f.advance(a, now) - float64(a.waiting) - a.demand*keepTime.Seconds()
		if n := math.Floor(min(spare, part)); n >= 1 {
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
