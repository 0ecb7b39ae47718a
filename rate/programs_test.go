package rate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

// reportInterval is the interval at which VMs report to each other in these tests.
const reportInterval = 200 * time.Millisecond

// programLoad is a load of programs of one customer.
type programLoad struct {
	limit
	// demand is the number of requests that the programs need, as a multiple of the limit, and hot a further factor from hotFrom to
	// hotUntil.
	demand, hot       float64
	hotFrom, hotUntil time.Duration
	length            time.Duration
	// change changes the fleet now and then; it may be nil.
	change func(f *testFleet, passed time.Duration)
	// unbounded switches the bound on programs in progress off.
	unbounded bool
}

const (
	// A program has about meanRequests requests, each begun about requestGap after the one before. Each request is sent up to
	// maxTries times.
	meanRequests = 13
	requestGap   = 250 * time.Millisecond
	maxTries     = 3
)

// programResult sums up what became of the programs.
type programResult struct {
	started, whole, broken, refused int
	// served is the number of requests of whole programs.
	served int
	// mostAdmitted is the largest number of admissions within a window.
	mostAdmitted int
}

func (f *testFleet) isCut(i, j int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[i][j]
}

func (f *testFleet) report(ctx context.Context) {
	for chestnutcleat.Sleep(ctx, reportInterval) == nil {
		reports := make([]Activities, f.vms)
		for i := range reports {
			reports[i] = f.limiter(i).Activities()
		}
		for i := range reports {
			others := Activities{}
			for j := range reports {
				if j != i && !f.isCut(i, j) {
					others.Add(reports[j])
				}
			}
			f.limiter(i).SetActivities(others, reportInterval)
		}
	}
}

// setRate cuts the customer's limit to a part of it, or restores it.
func (f *testFleet) setRate(cut bool, part float64) {
	rate, burst := f.rate, f.burst
	if cut {
		rate, burst = part*rate, part*burst
	}
	for i := range f.vms {
		f.limiter(i).SetCustomers([]config.Customer{{ID: customer, Rate: rate, Burst: burst}})
	}
}

// simulate plays the load on a fleet.
func (l programLoad) simulate(seed uint64) programResult {
	random := rand.New(rand.NewPCG(seed, 3))
	f := newTestFleet(l.limit)
	for _, limiter := range f.limiters {
		limiter.Random = rand.New(rand.NewPCG(seed, 4)).Float64
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.running.Go(func() { f.report(ctx) })
	f.waitForShares()
	var r programResult
	var programs sync.WaitGroup
	start := time.Now()
	if l.change != nil {
		f.running.Go(func() {
			for chestnutcleat.Sleep(ctx, reportInterval) == nil {
				l.change(f, time.Since(start))
			}
		})
	}
	for passed := time.Duration(0); passed < l.length; passed = time.Since(start) {
		perSecond := l.demand * float64(l.allowed()) / testWindow.Seconds() / meanRequests
		if passed >= l.hotFrom && passed < l.hotUntil {
			perSecond *= l.hot
		}
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		r.started++
		own := rand.New(rand.NewPCG(seed, uint64(r.started)+10))
		id := chestnutcleat.ProgramID(fmt.Sprint("program ", r.started))
		programs.Go(func() { f.runProgram(own, Request{Customer: customer, Program: id, Start: !l.unbounded}, &r) })
	}
	programs.Wait()
	cancel()
	f.running.Wait()
	r.mostAdmitted = f.maxPerWindow()
	return r
}

func (f *testFleet) runProgram(random *rand.Rand, first Request, r *programResult) {
	n := max(1, int(meanRequests*(1+0.4*random.NormFloat64())))
	for i := range n {
		q := first
		q.Start = first.Start && i == 0
		if !f.request(random, q) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if i == 0 {
				r.refused++
			} else {
				r.broken++
			}
			return
		}
		time.Sleep(time.Duration(0.3 * random.ExpFloat64() * float64(requestGap)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.whole++
	r.served += n
}

// request sends a request to random VMs, as often as callers do, and reports whether it was admitted.
func (f *testFleet) request(random *rand.Rand, q Request) bool {
	for range maxTries {
		l := f.limiter(random.IntN(f.vms))
		m := l.Admit(context.Background(), q)
		if m.Verdict == Admitted {
			f.mu.Lock()
			f.admitted = append(f.admitted, time.Now())
			f.mu.Unlock()
			time.Sleep(time.Duration(0.7 * (0.5 + random.Float64()) * float64(requestGap)))
			l.End(m)
			return true
		}
		time.Sleep(m.Retry)
	}
	return false
}

// simulateAll sums up the load over seeds from 0. Without the bound, each request counts as one of a program in progress.
func (l programLoad) simulateAll(t *testing.T, seeds uint64, bounded bool) programResult {
	l.unbounded = !bounded
	var sum programResult
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) { sum.add(l.simulate(seed)) })
	}
	return sum
}

func (r *programResult) add(o programResult) {
	r.started += o.started
	r.whole += o.whole
	r.broken += o.broken
	r.refused += o.refused
	r.served += o.served
	r.mostAdmitted = max(r.mostAdmitted, o.mostAdmitted)
}

func (r *programResult) brokenShare() float64  { return float64(r.broken) / float64(r.started) }
func (r *programResult) refusedShare() float64 { return float64(r.refused) / float64(r.started) }

// A customer above its limit must get its programs that are under way to their end, and new ones must be refused at their first
// request. A token for whoever comes lets new programs in all the while; they take the tokens of those under way and break as well.
func TestProgramsUnderWayEnd(t *testing.T) {
	few := limit{vms: 7, rate: 20, burst: 20}
	many := limit{vms: 7, rate: 100, burst: 100}
	hot := programLoad{limit: many, demand: 0.6, hot: 7, hotFrom: 5 * time.Second, hotUntil: 12 * time.Second, length: 30 * time.Second}
	for name, l := range map[string]programLoad{
		"slightly above its limit": {limit: few, demand: 1.1, length: 40 * time.Second},
		"1.5 times its limit":      {limit: few, demand: 1.5, length: 40 * time.Second},
		"three times its limit":    {limit: few, demand: 3, length: 40 * time.Second},
		"seven times its usual":    hot,
		"large fleet":              {limit: limit{vms: 70, rate: 20, burst: 20}, demand: 1.5, length: 30 * time.Second},
		"rate cut to a fifth": {limit: many, demand: 0.6, length: 40 * time.Second, change: func(f *testFleet, passed time.Duration) {
			f.setRate(passed >= 10*time.Second && passed < 25*time.Second, 0.2)
		}},
		"VMs restarted": {limit: few, demand: 1.5, length: 40 * time.Second, change: func(f *testFleet, passed time.Duration) {
			if n := int(passed / (10 * time.Second)); n > 0 && passed%(10*time.Second) < reportInterval {
				f.restart(n % f.vms)
			}
		}},
		"halves": {limit: many, demand: 1.5, length: 30 * time.Second, change: func(f *testFleet, passed time.Duration) {
			f.setPartition(passed >= 8*time.Second && passed < 16*time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			with, without := l.simulateAll(t, 4, true), l.simulateAll(t, 4, false)
			t.Logf("broken %.3f, without a bound %.3f; requests of whole programs %d and %d; refused %.3f and %.3f", with.brokenShare(),
				without.brokenShare(), with.served, without.served, with.refusedShare(), without.refusedShare())
			if with.brokenShare() > without.brokenShare()/2 || with.served < without.served {
				t.Errorf("expected at most half as many broken programs and no fewer requests of whole ones than without a bound")
			}
			if with.mostAdmitted > l.bound() {
				t.Errorf("%d admitted within %v, bound %d", with.mostAdmitted, testWindow, l.bound())
			}
		})
	}
}

// A customer below its limit must not lose more programs by the bound than it would lose for lack of tokens.
func TestProgramsBelowLimit(t *testing.T) {
	for _, demand := range []float64{0.3, 0.5, 0.7} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			l := programLoad{limit: limit{vms: 7, rate: 20, burst: 20}, demand: demand, length: 40 * time.Second}
			with, without := l.simulateAll(t, 40, true), l.simulateAll(t, 40, false)
			t.Logf("refused %.3f, broken %.3f; without a bound %.3f and %.3f", with.refusedShare(), with.brokenShare(), without.refusedShare(), without.brokenShare())
			if with.whole < without.whole {
				t.Errorf("%d whole programs, %d without a bound", with.whole, without.whole)
			}
		})
	}
}

// Numbers that no VM can mean must cost their report only: one that is not a number would refuse each program.
func TestImplausibleReports(t *testing.T) {
	is := is.New(t)
	good := Activity{Programs: []uint32{1}, Rate: 2, Starts: 3, Left: 4, VMs: 1}
	sum := Activities{}
	sum.Add(Activities{customer: good})
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		sum.Add(Activities{customer: {Rate: n, Starts: n, Left: n, VMs: -1}})
	}
	is.Equal(sum[customer], good)
	l := small.newLimiter(0)
	l.Restore(Usage{customer: {{Tokens: math.NaN()}, {Tokens: math.Inf(1)}, {Age: -time.Hour, Tokens: 1}}}, 0)
	is.Equal(l.customers[customer].used.total, 1.0)
}

// A token that was not used must be admitted again, and only once, by the VM whose share it came from or by the one that borrowed it.
func TestReturnedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(limit{vms: 2, rate: 2, burst: 2})
		f.waitForShares()
		admitted := 0
		for i := range 60 {
			m := f.limiter(0).Admit(t.Context(), Request{Customer: customer})
			if m.Verdict == Admitted && i%2 == 0 {
				f.limiter(0).Refund(m)
			} else if m.Verdict == Admitted {
				admitted++
			}
			f.limiter(0).End(m)
		}
		is.Equal(admitted, f.allowed())
		refused := f.limiter(0).Admit(t.Context(), Request{Customer: customer})
		is.Equal(refused.Verdict, OverRate)
		f.limiter(0).Refund(refused)
		is.Equal(f.limiter(0).Admit(t.Context(), Request{Customer: customer}).Verdict, OverRate)
		time.Sleep(testWindow + time.Second)
		a := f.limiter(0).customers[customer]
		is.Equal(a.advance(time.Now()), a.share)
	})
}
