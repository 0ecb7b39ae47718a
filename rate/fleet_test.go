package rate

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

const (
	customer  = chestnutcleat.CustomerID("c")
	rateLimit = 180.0
	burst     = 180.0
	vms       = 7
	// window, overage and tolerance are those of the deployments.
	window5   = 5 * time.Second
	overage   = 0.1
	tolerance = 20
	interval  = 200 * time.Millisecond
)

// rig is a fleet of limiters that ask each other for tokens.
type rig struct {
	list     []*Fleet
	cut      [][]bool
	asked    int
	admitted []time.Time
	refused  int
}

func newRig() *rig {
	r := &rig{}
	for range vms {
		r.list = append(r.list, r.newLimiter(len(r.list)))
		r.cut = append(r.cut, make([]bool, vms))
	}
	return r
}

func (r *rig) newLimiter(i int) *Fleet {
	f := newLimiter()
	f.Ask = func() { r.tell(i) }
	return f
}

func newLimiter() *Fleet {
	f := NewFleet(window5)
	f.Ask = func() {}
	f.Set([]config.Customer{{ID: customer, Rate: rateLimit, Burst: burst}})
	f.SetVMs(vms)
	return f
}

// tell passes one VM's needs to the others, and what they lend back to it.
func (r *rig) tell(from int) {
	needs := r.list[from].Needs()
	r.asked++
	for to := range vms {
		if to != from && !r.cut[from][to] && len(needs) > 0 {
			r.list[from].Take(r.list[to].Give(needs, (to+r.asked)%(vms-1), vms-1), time.Now())
		}
	}
}

// run sends requests for a while: perSecond over all VMs, as share gives them to each VM.
func (r *rig) run(d time.Duration, perSecond float64, pick func() int) {
	end := time.Now().Add(d)
	next := time.Now()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		r.admit(pick())
		if time.Since(next) >= 0 {
			next = time.Now().Add(interval)
			for i := range vms {
				r.tell(i)
			}
		}
	}
}

func (r *rig) admit(i int) {
	if ok, _ := r.list[i].Admit(context.Background(), customer); ok {
		r.admitted = append(r.admitted, time.Now())
	} else {
		r.refused++
	}
}

// most returns the largest number of admissions within any window.
func (r *rig) most() int {
	most, first := 0, 0
	for i, t := range r.admitted {
		for t.Sub(r.admitted[first]) > window5 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// since returns the admissions within a time before now.
func (r *rig) since(d time.Duration) int {
	n := 0
	for _, t := range r.admitted {
		if time.Since(t) <= d {
			n++
		}
	}
	return n
}

// allowed is what the limit allows in a window, without the tolerances of the deployments.
func allowed() int { return int(rateLimit*window5.Seconds() + burst) }

func bound() int { return int((rateLimit*window5.Seconds()+burst)*(1+overage)) + tolerance }

// start lets the VMs hear each other before traffic, as at the deployments.
func (r *rig) start() { r.run(10*time.Second, 5, func() int { return 0 }) }

// A customer far above its rate must be held to it over all VMs, evenly spread, at one VM, at a split into halves, with all
// VMs alone, and over a restart of all VMs. A limit by counts that VMs tell each other fails this when they are cut off.
func TestRateHolds(t *testing.T) {
	for name, during := range map[string]func(r *rig, anywhere func() int){
		"spread": func(r *rig, anywhere func() int) { r.run(20*time.Second, 1300, anywhere) },
		"one VM": func(r *rig, _ func() int) { r.run(20*time.Second, 1300, func() int { return 3 }) },
		"changes": func(r *rig, anywhere func() int) {
			for i := range 10 {
				r.run(2*time.Second, 1300, func() int { return i % vms })
			}
		},
		"halves": func(r *rig, anywhere func() int) {
			r.run(3*time.Second, 1300, anywhere)
			r.split(true)
			r.run(6*time.Second, 1300, anywhere)
			r.split(false)
			r.run(6*time.Second, 1300, anywhere)
		},
		"all alone": func(r *rig, anywhere func() int) {
			for i := range vms {
				for j := range vms {
					r.cut[i][j] = true
				}
			}
			r.run(10*time.Second, 1300, anywhere)
		},
		"all restarted": func(r *rig, anywhere func() int) {
			r.run(5*time.Second, 1300, anywhere)
			for i := range vms {
				r.list[i] = r.newLimiter(i)
			}
			r.run(10*time.Second, 1300, anywhere)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				r := newRig()
				r.start()
				during(r, func() int { return random.IntN(vms) })
				if n := r.most(); n > bound() {
					t.Errorf("%d admitted within %v, bound %d", n, window5, bound())
				}
				if n := len(r.admitted); n < int(rateLimit*8) {
					t.Errorf("only %d admitted", n)
				}
				if last := r.since(10 * time.Second); (name == "spread" || name == "one VM") && last < int(0.95*float64(2*allowed())) {
					t.Errorf("%d admitted in 10 s, %d allowed in each 5 s", last, allowed())
				}
			})
		})
	}
}

func (r *rig) split(cut bool) {
	for i := range vms {
		for j := range vms {
			r.cut[i][j] = cut && (i < vms/2) != (j < vms/2)
		}
	}
}

// Below its rate a customer must never be refused, wherever its requests arrive; a lost VM must not change that.
func TestNothingRefusedBelowTheRate(t *testing.T) {
	for name, pick := range map[string]func(n int) int{
		"one VM":   func(int) int { return 2 },
		"two VMs":  func(n int) int { return n % 2 },
		"all VMs":  func(n int) int { return n % vms },
		"six of 7": func(n int) int { return n % (vms - 1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig()
				r.start()
				n := 0
				next := func() int { n++; return pick(n) }
				r.run(10*time.Second, 0.8*rateLimit, next)
				for i := range vms {
					r.cut[vms-1][i] = name == "six of 7"
				}
				r.run(10*time.Second, 0.8*rateLimit, next)
				is.Equal(r.refused, 0)
			})
		})
	}
}

// A lower rate must bind at once without stopping the customer for a whole window, and a customer without a rate is never
// refused.
func TestRateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimiter()
		f.SetVMs(1)
		time.Sleep(time.Minute)
		for range 500 {
			time.Sleep(window5 / 500)
			f.Admit(t.Context(), customer)
		}
		f.Set([]config.Customer{{ID: customer, Rate: 1, Burst: 4}})
		admitted := 0
		for range 100 {
			time.Sleep(window5 / 100)
			if ok, _ := f.Admit(t.Context(), customer); ok {
				admitted++
			}
		}
		is.True(admitted > 0 && admitted <= 9)
		_, retry := f.Admit(t.Context(), customer)
		is.True(retry > 0 && retry <= time.Second)
		for range 100 {
			ok, _ := f.Admit(t.Context(), "unlimited")
			is.True(ok)
		}
	})
}

// A lent token must not be used after its lender counts it as free again, however late its datagram is read.
func TestLateLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimiter()
		f.SetVMs(2)
		asked := time.Now()
		time.Sleep(takeTime)
		f.Take(Tokens{customer: 5}, asked)
		is.Equal(f.customers[customer].lent(), 0.0)
		f.Take(Tokens{customer: 5}, time.Now())
		is.Equal(f.customers[customer].lent(), 5.0)
		time.Sleep(takeTime)
		f.Needs()
		is.Equal(f.customers[customer].lent(), 0.0)
	})
}
