package rate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

const (
	// demandAveragingTime is the time constant over which demand is averaged.
	demandAveragingTime = 300 * time.Millisecond
	// maxTokenWait is how long a request waits for tokens of other VMs. It allows a round trip within a region to each holder.
	maxTokenWait = 60 * time.Millisecond
	// maxRetryAfter bounds the delay after which refused callers are told to retry, as the demand may have ended by then.
	maxRetryAfter = time.Second
	// noWaitTime is the time after a futile wait for tokens during which other requests don't wait.
	noWaitTime = 100 * time.Millisecond
	// answerTimeout is how long an answer is awaited before the next holder is asked. It allows for a busy VM in another failure domain.
	answerTimeout = 12 * time.Millisecond
)

// Tokens holds a number of admissions for each customer.
type Tokens map[chestnutcleat.CustomerID]float64

// Limiter limits the admissions of a customer over all VMs to its rate times the window plus its burst, in each window. The
// customer's holders have equal shares of these tokens and lend those that they don't need. A lent token counts as used at the
// lender, and a loan expires after loanTime, so no partition, lost datagram or restart lets the fleet admit more.
type Limiter struct {
	// Self is this VM.
	Self chestnutcleat.VMID
	// Window is the time over which limits apply.
	Window time.Duration
	// Overage is the fraction of a limit by which operators accept that it is exceeded, as many VMs enforce it together.
	Overage float64
	// Random draws from [0, 1). It is called by one goroutine at a time.
	Random func() float64
	// RequestTokens sends a request for tokens to another VM and does not wait for the answer.
	RequestTokens func(to chestnutcleat.VMID, needs Tokens)

	mu        sync.Mutex
	vms       []chestnutcleat.VMID
	started   time.Time
	customers map[chestnutcleat.CustomerID]*account
	// sample tracks a sample of the programs of all customers.
	sample activity
	// answered is closed and replaced at each answer of another VM.
	answered chan struct{}
	// restored holds what the process before this one had used, as of restoredAt; zero if nothing is known.
	restored   Usage
	restoredAt time.Time
}

// NewLimiter returns a limiter. It admits no requests of limited customers before SetVMs is called.
func NewLimiter(self chestnutcleat.VMID, w time.Duration) *Limiter {
	return &Limiter{Self: self, Window: w, Random: rand.Float64, started: time.Now(), customers: map[chestnutcleat.CustomerID]*account{}, answered: make(chan struct{})}
}

// SetVMs sets the VMs that share the limits, including this one.
func (l *Limiter) SetVMs(list []chestnutcleat.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(list, l.vms) {
		return
	}
	wasEmpty := len(l.vms) == 0
	l.vms = slices.Clone(list)
	now := time.Now()
	for c, a := range l.customers {
		a.advance(now)
		a.assignShare(c, l.vms, l.Self)
		if wasEmpty {
			a.growShare(now.Sub(l.started))
			l.restoreAccount(c, a, now)
		}
	}
}

// SetCustomers replaces the customers; those without a rate are not limited.
func (l *Limiter) SetCustomers(list []config.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	customers := make(map[chestnutcleat.CustomerID]*account, len(list))
	for _, c := range list {
		if c.Rate <= 0 {
			continue
		}
		windowTokens := c.Rate*l.Window.Seconds() + c.Burst
		a := l.customers[c.ID]
		isNew := a == nil
		if isNew {
			a = &account{updated: now, used: window{length: l.Window, start: now}, nextHolder: int(chestnutcleat.Rendezvous(string(c.ID), l.Self) >> 32)}
		} else {
			a.advance(now)
			a.scale(windowTokens / a.windowTokens)
		}
		a.windowTokens, a.perSecond = windowTokens, windowTokens/l.Window.Seconds()
		a.assignShare(c.ID, l.vms, l.Self)
		if isNew {
			// No VM has admitted requests of a new customer, so its share may grow from the start.
			a.growShare(now.Sub(l.started))
			l.restoreAccount(c.ID, a, now)
		}
		customers[c.ID] = a
	}
	l.customers = customers
}

// takeToken counts one request. A request without a token waits up to maxTokenWait for
// those of other VMs, so that a customer below its limit is not refused at a VM that has used up its share.
func (l *Limiter) takeToken(ctx context.Context, c chestnutcleat.CustomerID) decision {
	d := l.tryAdmit(c, time.Now(), nil)
	l.sendRequest(c, d.request)
	if d.answered == nil {
		return d
	}
	deadline := time.NewTimer(maxTokenWait)
	defer deadline.Stop()
	retryTicker := time.NewTicker(answerTimeout)
	defer retryTicker.Stop()
	for {
		select {
		case <-d.answered:
		case <-retryTicker.C:
		case <-deadline.C:
			l.endWait(c, true)
			return d
		case <-ctx.Done():
			l.endWait(c, false)
			return d
		}
		d = l.tryAdmit(c, time.Now(), &d)
		l.sendRequest(c, d.request)
		if d.answered == nil {
			return d
		}
	}
}

func (l *Limiter) sendRequest(c chestnutcleat.CustomerID, r tokenRequest) {
	if r.tokens > 0 {
		l.RequestTokens(r.to, Tokens{c: r.tokens})
	}
}

// decision is the result of one attempt to admit a request.
type decision struct {
	admitted bool
	token    token
	request  tokenRequest
	// answered is closed at the next answer of another VM; nil when the decision is final.
	answered <-chan struct{}
	retry    time.Duration
	// emptyAnswers is the account's number of answers without tokens when the request began to wait.
	emptyAnswers uint64
}

// tryAdmit tries to take a token; previous is the decision after which the request waited, nil at its first attempt.
func (l *Limiter) tryAdmit(c chestnutcleat.CustomerID, now time.Time, previous *decision) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.customers[c]
	if a == nil {
		return decision{admitted: true}
	}
	own := a.advance(now)
	waited := previous != nil
	if waited {
		a.waiting--
	} else {
		a.demand += 1 / demandAveragingTime.Seconds()
	}
	if own < lowShare*a.share {
		a.activity.scarceAt = now
	}
	if t, ok := a.take(own, now); ok {
		return decision{admitted: true, token: t}
	}
	d := decision{retry: min(maxRetryAfter, time.Duration(max(1, a.demand*demandAveragingTime.Seconds())/a.perSecond*float64(time.Second)))}
	d.emptyAnswers = a.emptyAnswers
	if waited {
		d.emptyAnswers = previous.emptyAnswers
	}
	if waited && a.allHoldersEmpty(l.Self, d.emptyAnswers) {
		a.lastFutileWait = now
		return d
	}
	if len(l.vms) > 1 && (waited || now.Sub(a.lastFutileWait) > noWaitTime) {
		a.waiting++
		d.answered = l.answered
		d.request = a.nextRequest(l.Self, own, now)
	}
	return d
}

// endWait ends the wait of a request. After a timeout other requests don't wait for noWaitTime.
func (l *Limiter) endWait(c chestnutcleat.CustomerID, timedOut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.customers[c]; a != nil {
		a.waiting = max(0, a.waiting-1)
		if timedOut {
			a.lastFutileWait = time.Now()
		}
	}
}

// lentUseDelay returns the delay after which a lent token counts as used. The borrower uses it up to loanTime after its request. If
// it counted at once, it would leave the lender's window that much too early, so that a window could admit the uses of loanTime
// twice. That is accepted only if Overage covers it.
func (l *Limiter) lentUseDelay() time.Duration {
	if l.Overage >= loanTime.Seconds()/l.Window.Seconds() {
		return 0
	}
	return strictUseDelay
}

// Lend deducts and returns the tokens that another VM requests, as far as they can be spared. An answer may be zero tokens.
func (l *Limiter) Lend(needs Tokens) Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	lent := Tokens{}
	now := time.Now()
	for c, need := range needs {
		a := l.customers[c]
		if a == nil {
			continue
		}
		n := min(a.lendable(a.advance(now)), plausible(need))
		if n > 0 {
			a.used.add(now.Add(l.lentUseDelay()), n)
		}
		lent[c] = n
	}
	return lent
}

// ReceiveTokens adds tokens that another VM lent for a request sent at a time. Answers that are older than loanTime are ignored.
func (l *Limiter) ReceiveTokens(lent Tokens, requested time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !(loan{requested: requested}).usable(time.Now()) {
		return
	}
	for c, n := range lent {
		if a := l.customers[c]; a != nil {
			a.recordAnswer(loan{tokens: plausible(n), requested: requested})
		}
	}
	close(l.answered)
	l.answered = make(chan struct{})
}
