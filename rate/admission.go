package rate

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Request is what the limiter needs to know of a request.
type Request struct {
	Customer chestnutcleat.CustomerID
	// Program is the program that the request belongs to; empty for none.
	Program chestnutcleat.ProgramID
	// Start is set if the request may be the first one of its program.
	Start bool
}

func (q Request) hash() programHash { return hashProgram(q.Customer, q.Program) }

// Verdict is the limiter's decision on a request.
type Verdict int

// Verdicts.
const (
	// Admitted requests must be ended by Limiter.End.
	Admitted Verdict = iota
	// OverRate means that the customer has used its limit.
	OverRate
	// TooManyPrograms means that the customer's limit carries no further program.
	TooManyPrograms
)

// Admission is the limiter's answer to a request.
type Admission struct {
	Verdict Verdict
	// Retry is the time after which to retry a refused request.
	Retry time.Duration

	request Request
	token   token
}

// Admit decides on a request.
func (l *Limiter) Admit(ctx context.Context, q Request) Admission {
	starts, retry := l.beginRequest(q)
	if retry > 0 {
		return Admission{Verdict: TooManyPrograms, Retry: retry}
	}
	d := l.takeToken(ctx, q.Customer)
	switch {
	case d.admitted:
		return Admission{request: q, token: d.token}
	case starts:
		l.forget(q)
	default:
		l.refuse(q)
	}
	return Admission{Verdict: OverRate, Retry: d.retry}
}

// beginRequest counts a request. It returns whether its program begins with it, and the time after which to retry if it may not.
func (l *Limiter) beginRequest(q Request) (starts bool, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.customers[q.Customer]
	if a == nil || q.Program == "" {
		return false, 0
	}
	now, program := time.Now(), q.hash()
	starts = q.Start && !a.activity.isKnown(program, now)
	if starts && !a.activity.mayStart(now, l.Random()) {
		return true, startRetry(l.Random())
	}
	a.activity.begin(program, now)
	if program.sampled() {
		l.sample.begin(program, now)
	}
	return starts, 0
}

// End records that an admitted request has ended.
func (l *Limiter) End(m Admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := m.request
	if a := l.customers[q.Customer]; a != nil && q.Program != "" {
		l.endRequest(a, q.hash(), time.Now())
	}
}

// Refund returns the token of an admitted request that was not sent to any instance.
func (l *Limiter) Refund(m Admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.customers[m.request.Customer]; a != nil && m.Verdict == Admitted {
		a.giveBack(m.token)
	}
}

// endRequest records the end of a request. The caller holds l.mu.
func (l *Limiter) endRequest(a *account, p programHash, now time.Time) {
	a.activity.end(p, now)
	l.sample.end(p, now)
}

// refuse records that a request of a program in progress was refused.
func (l *Limiter) refuse(q Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.customers[q.Customer]; a != nil && q.Program != "" {
		now := time.Now()
		l.endRequest(a, q.hash(), now)
		a.activity.refused(now)
	}
}

// forget drops a program whose first request was refused.
func (l *Limiter) forget(q Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.customers[q.Customer]; a != nil {
		delete(a.activity.own, q.hash())
		delete(l.sample.own, q.hash())
	}
}

// Activities returns the activity at this VM of the customers near their limits.
func (l *Limiter) Activities() Activities {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := Activities{sample: l.sample.report(0, now)}
	for c, a := range l.customers {
		if a.activity.scarce(now) {
			out[c] = a.activity.report(a.left(now), now)
		}
	}
	return out
}

// SetActivities sets the sums over the activities that the other VMs report, which they do at the given interval.
func (l *Limiter) SetActivities(others Activities, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sample.learn(l.sample.merge(others[sample], 0, now), len(l.vms), interval)
	usual := l.sample.perProgram(0)
	for c, a := range l.customers {
		s := a.activity.merge(others[c], a.left(now), now)
		if a.activity.scarce(now) {
			a.activity.learn(s, len(l.vms), interval)
		}
		a.activity.allowStarts(s, a.windowTokens, a.perSecond, a.activity.perProgram(usual))
	}
}
