package rate

import (
	"context"
	"slices"
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
	// tokenWait is how long a request waits for tokens of other VMs: a round trip within a region to each of a customer's holders.
	tokenWait = 60 * time.Millisecond
	// keepTime is the demand that a VM keeps tokens for when another one asks.
	keepTime = 100 * time.Millisecond
	// maxRetry bounds when a refused caller is told to come back; its demand may have ended by then.
	maxRetry = time.Second
	// dryTime is how long requests do not wait for tokens after one waited in vain.
	dryTime = 100 * time.Millisecond
	// answerTime is how long the answer to a question for tokens may take, at a busy VM of another failure domain, before the
	// next holder is asked.
	answerTime = 12 * time.Millisecond
)

// Tokens are admissions, by customer.
type Tokens map[chestnutcleat.CustomerID]float64

// Fleet admits, in each window, at most the customer's rate times the window plus its burst over all VMs. The customer's
// holders have an even share of that each, and lend what they do not need to VMs that ask. A lent token counts as used by the
// lender, and the borrower uses it at once or not at all, so that no cut, loss or restart lets the fleet admit more.
type Fleet struct {
	// Self is this VM.
	Self chestnutcleat.VMID
	// Window is the span over which rates hold.
	Window time.Duration
	// Overage is the part of a limit that operators let pass beyond it, as many VMs hold it.
	Overage float64
	// Ask asks another VM for tokens; its answer comes to Take.
	Ask func(to chestnutcleat.VMID, needs Tokens)

	mu        sync.Mutex
	vms       []chestnutcleat.VMID
	started   time.Time
	customers map[chestnutcleat.CustomerID]*account
	// given is closed when another VM answers.
	given chan struct{}
}

// NewFleet returns a limiter, which admits nothing of limited customers before it knows the VMs.
func NewFleet(self chestnutcleat.VMID, w time.Duration) *Fleet {
	return &Fleet{Self: self, Window: w, started: time.Now(), customers: map[chestnutcleat.CustomerID]*account{}, given: make(chan struct{})}
}

// SetVMs tells which VMs share the rates, this one included.
func (f *Fleet) SetVMs(list []chestnutcleat.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(list, f.vms) {
		return
	}
	first := len(f.vms) == 0
	f.vms = slices.Clone(list)
	now := time.Now()
	for c, a := range f.customers {
		a.advance(now)
		a.divide(c, f.vms, f.Self)
		if first {
			a.grow(now.Sub(f.started))
		}
	}
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
		whole := c.Rate*f.Window.Seconds() + c.Burst
		a := f.customers[c.ID]
		fresh := a == nil
		if fresh {
			a = &account{at: now, used: window{length: f.Window, begun: now}, next: int(chestnutcleat.Rendezvous(string(c.ID), f.Self) >> 32)}
		} else {
			a.advance(now)
			a.scale(whole / a.whole)
		}
		a.whole, a.rate = whole, whole/f.Window.Seconds()
		a.divide(c.ID, f.vms, f.Self)
		if fresh {
			// Nobody admitted requests of a new customer.
			a.grow(now.Sub(f.started))
		}
		next[c.ID] = a
	}
	f.customers = next
}

// Admit counts one request, or returns after what time to come back. A request without a token waits a moment for those of
// other VMs, so that a customer below its rate is not refused where it comes first.
func (f *Fleet) Admit(ctx context.Context, c chestnutcleat.CustomerID) (ok bool, retry time.Duration) {
	d := f.try(c, time.Now(), nil)
	f.send(c, d.ask)
	if d.given == nil {
		return d.admitted, d.retry
	}
	t := time.NewTimer(tokenWait)
	defer t.Stop()
	again := time.NewTicker(answerTime)
	defer again.Stop()
	for {
		select {
		case <-d.given:
		case <-again.C:
		case <-t.C:
			f.giveUp(c, true)
			return false, d.retry
		case <-ctx.Done():
			f.giveUp(c, false)
			return false, d.retry
		}
		d = f.try(c, time.Now(), &d)
		f.send(c, d.ask)
		if d.given == nil {
			return d.admitted, d.retry
		}
	}
}

func (f *Fleet) send(c chestnutcleat.CustomerID, q question) {
	if q.tokens > 0 {
		f.Ask(q.to, Tokens{c: q.tokens})
	}
}

// decision tells what becomes of a request.
type decision struct {
	admitted bool
	ask      question
	// given is closed when another VM answered; nil when the decision is final.
	given <-chan struct{}
	retry time.Duration
	// empty is the account's number of answers without tokens when the request began to wait.
	empty uint64
}

// try takes a token for a request, which may have waited for one since the decision before.
func (f *Fleet) try(c chestnutcleat.CustomerID, now time.Time, before *decision) decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.customers[c]
	if a == nil {
		return decision{admitted: true}
	}
	own := a.advance(now)
	waited := before != nil
	if waited {
		a.waiting--
	} else {
		a.demand += 1 / demandTime.Seconds()
	}
	dry := now.Sub(a.dry) <= dryTime
	if a.take(own, now) {
		d := decision{admitted: true}
		if !dry {
			d.ask = a.ask(f.Self, a.advance(now), now)
		}
		return d
	}
	d := decision{retry: min(maxRetry, time.Duration(max(1, a.demand*demandTime.Seconds())/a.rate*float64(time.Second)))}
	d.empty = a.empty
	if waited {
		d.empty = before.empty
	}
	if waited && a.isEmpty(f.Self, d.empty) {
		a.dry = now
		return d
	}
	if len(f.vms) > 1 && (waited || !dry) {
		a.waiting++
		d.given = f.given
		d.ask = a.ask(f.Self, own, now)
	}
	return d
}

// giveUp ends the wait of a request. After one that waited in vain others need not wait for a while.
func (f *Fleet) giveUp(c chestnutcleat.CustomerID, vain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.customers[c]; a != nil {
		a.waiting = max(0, a.waiting-1)
		if vain {
			a.dry = time.Now()
		}
	}
}

// holdTime is how much later than given a token counts as used. It is used within takeTime, so that a lender which counts it at
// once may let the uses of takeTime pass twice in a window.
func (f *Fleet) holdTime() time.Duration {
	if f.Overage >= takeTime.Seconds()/f.Window.Seconds() {
		return 0
	}
	return exactHold
}

// Give takes off and returns what another VM asks for, as far as this one can spare it; none is an answer too.
func (f *Fleet) Give(needs Tokens) Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	given := Tokens{}
	now := time.Now()
	for c, need := range needs {
		a := f.customers[c]
		if a == nil {
			continue
		}
		n := min(a.spare(a.advance(now)), need)
		if n > 0 {
			a.used.add(now.Add(f.holdTime()), n)
		}
		given[c] = n
	}
	return given
}

// Take adds tokens that another VM gave for what this VM asked at a time; they are worth nothing a little later.
func (f *Fleet) Take(given Tokens, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !(loan{asked: asked}).usable(time.Now()) {
		return
	}
	for c, n := range given {
		if a := f.customers[c]; a != nil {
			a.answered(loan{tokens: n, asked: asked})
		}
	}
	close(f.given)
	f.given = make(chan struct{})
}
