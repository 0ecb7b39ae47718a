package rate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

const (
	customer = chestnutcleat.CustomerID("c")
	// window, overage and tolerance are those of the deployments.
	window5   = 5 * time.Second
	overage   = 0.1
	tolerance = 20
	// way is how long a datagram takes.
	way = 500 * time.Microsecond
)

// limit is a customer's rate and the fleet that holds it.
type limit struct {
	vms         int
	rate, burst float64
}

// small and large are a customer of a small fleet, and one with few tokens for each VM of a large one.
var (
	small = limit{vms: 7, rate: 180, burst: 180}
	large = limit{vms: 50, rate: 16, burst: 16}
)

// allowed is what the limit allows in a window, without the tolerances of the deployments.
func (l limit) allowed() int { return int(l.rate*window5.Seconds() + l.burst) }

func (l limit) bound() int { return int((l.rate*window5.Seconds()+l.burst)*(1+overage)) + tolerance }

// rig is a fleet of limiters that ask each other for tokens.
type rig struct {
	limit
	// way is how long a datagram takes, with its handling at a busy VM.
	way     time.Duration
	list    []*Fleet
	cut     [][]bool
	running sync.WaitGroup

	mu        sync.Mutex
	questions int
	admitted  []time.Time
	refused   int
}

func newRig(l limit) *rig {
	r := &rig{limit: l, way: way}
	for i := range l.vms {
		r.list = append(r.list, r.newLimiter(i))
		r.cut = append(r.cut, make([]bool, l.vms))
	}
	return r
}

func (l limit) ids() []chestnutcleat.VMID {
	var ids []chestnutcleat.VMID
	for i := range l.vms {
		ids = append(ids, chestnutcleat.VMID(strconv.Itoa(i)))
	}
	return ids
}

func (r *rig) newLimiter(i int) *Fleet {
	f := r.limit.newLimiter(i)
	f.Ask = func(to chestnutcleat.VMID, needs Tokens) {
		j, err := strconv.Atoi(string(to))
		if err != nil {
			panic(err)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.questions++
		sent := time.Now()
		if r.cut[i][j] || r.cut[j][i] {
			return
		}
		time.AfterFunc(r.way, func() {
			given := r.limiter(j).Give(needs)
			time.AfterFunc(r.way, func() { f.Take(given, sent) })
		})
	}
	return f
}

func (l limit) newLimiter(i int) *Fleet {
	ids := l.ids()
	f := NewFleet(ids[i], window5)
	f.Overage = overage
	f.Ask = func(chestnutcleat.VMID, Tokens) {}
	f.Set([]config.Customer{{ID: customer, Rate: l.rate, Burst: l.burst}})
	f.SetVMs(ids)
	return f
}

func (r *rig) limiter(i int) *Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list[i]
}

func (r *rig) restart(i int) {
	f := r.newLimiter(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[i] = f
}

// run sends requests for a while, perSecond over all VMs, as pick gives them to the VMs, and waits for their ends.
func (r *rig) run(d time.Duration, perSecond float64, pick func() int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		i := pick()
		r.running.Go(func() { r.admit(i) })
	}
	r.running.Wait()
}

func (r *rig) admit(i int) {
	ok, _ := r.limiter(i).Admit(context.Background(), customer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
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

// start lets the shares open.
func (r *rig) start() { time.Sleep(2 * window5) }

// each cuts or joins the pairs of VMs that the function names.
func (r *rig) each(cut func(i, j int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.vms {
		for j := range r.vms {
			r.cut[i][j] = cut(i, j)
		}
	}
}

func (r *rig) split(cut bool) {
	r.each(func(i, j int) bool { return cut && (i < r.vms/2) != (j < r.vms/2) })
}

// A customer far above its rate must be held to it over all VMs, evenly spread, at one VM, at a split into halves, with all
// VMs alone, over a restart of all VMs and changes of the list. A limit by counts that VMs tell each other fails this when
// they are cut off.
func TestRateHolds(t *testing.T) {
	for _, l := range []limit{small, large} {
		press := 7 * l.rate
		for name, during := range map[string]func(r *rig, anywhere func() int){
			"spread": func(r *rig, anywhere func() int) { r.run(20*time.Second, press, anywhere) },
			"one VM": func(r *rig, _ func() int) { r.run(20*time.Second, press, func() int { return 3 }) },
			"changes": func(r *rig, anywhere func() int) {
				for i := range 10 {
					r.run(2*time.Second, press, func() int { return i % r.vms })
				}
			},
			"halves": func(r *rig, anywhere func() int) {
				r.run(3*time.Second, press, anywhere)
				r.split(true)
				r.run(6*time.Second, press, anywhere)
				r.split(false)
				r.run(6*time.Second, press, anywhere)
			},
			"all alone": func(r *rig, anywhere func() int) {
				r.each(func(i, j int) bool { return i != j })
				r.run(10*time.Second, press, anywhere)
			},
			"all restarted": func(r *rig, anywhere func() int) {
				r.run(5*time.Second, press, anywhere)
				for i := range r.vms {
					r.restart(i)
				}
				r.run(10*time.Second, press, anywhere)
			},
			"a VM removed and back": func(r *rig, anywhere func() int) {
				ids := r.ids()
				for _, listed := range [][]chestnutcleat.VMID{ids[:r.vms-1], ids, ids[:r.vms-1], ids} {
					for i := range r.vms {
						r.list[i].SetVMs(listed)
					}
					r.run(5*time.Second, press, anywhere)
				}
			},
		} {
			t.Run(fmt.Sprintf("%d VMs/%s", l.vms, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, 2))
					r := newRig(l)
					r.start()
					during(r, func() int { return random.IntN(r.vms) })
					if n := r.most(); n > l.bound() {
						t.Errorf("%d admitted within %v, bound %d", n, window5, l.bound())
					}
					if n := len(r.admitted); n < int(l.rate*8) {
						t.Errorf("only %d admitted", n)
					}
					if last := r.since(10 * time.Second); (name == "spread" || name == "one VM") && last < int(0.95*float64(2*l.allowed())) {
						t.Errorf("%d admitted in 10 s, %d allowed in each 5 s", last, l.allowed())
					}
				})
			})
		}
	}
}

// Below its rate a customer must never be refused, wherever its requests arrive; a lost VM must not change that. On a quiet
// day of 50 VMs a fifth of the requests of small customers was refused: no VM had a whole token to admit or to lend.
func TestNothingRefusedBelowTheRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, l := range []limit{small, large} {
		for name, pick := range map[string]func(n int) int{
			"one VM":      func(int) int { return 2 },
			"two VMs":     func(n int) int { return n % 2 },
			"all VMs":     func(n int) int { return n % l.vms },
			"at random":   func(int) int { return random.IntN(l.vms) },
			"all but one": func(n int) int { return n % (l.vms - 1) },
		} {
			t.Run(fmt.Sprintf("%d VMs/%s", l.vms, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := newRig(l)
					r.start()
					n := 0
					next := func() int { n++; return pick(n) }
					r.run(10*time.Second, 0.8*l.rate, next)
					last := l.vms - 1
					r.each(func(i, j int) bool { return name == "all but one" && (i == last || j == last) })
					r.run(10*time.Second, 0.8*l.rate, next)
					is.Equal(r.refused, 0)
					t.Logf("%d questions for %d requests", r.questions, n)
				})
			})
		}
	}
}

// A lower rate must bind at once without stopping the customer for a whole window, and a customer without a rate is never
// refused.
func TestRateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		alone := small
		alone.vms = 1
		f := alone.newLimiter(0)
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
		pair := small
		pair.vms = 2
		f := pair.newLimiter(0)
		a := f.customers[customer]
		asked := time.Now()
		time.Sleep(takeTime)
		f.Take(Tokens{customer: 5}, asked)
		is.Equal(a.lent(), 0.0)
		f.Take(Tokens{customer: 5}, time.Now())
		is.Equal(a.lent(), 5.0)
		time.Sleep(takeTime)
		a.advance(time.Now())
		is.Equal(a.lent(), 0.0)
	})
}
