package limit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/limit"
)

const customerID = chestnutcleat.CustomerID("ana")

// journal is the storage of the witnesses. Appends in flight when their owner fails are lost at random.
type journal struct {
	loop   *control.Loop
	rand   *rand.Rand
	stored map[string]chestnutcleat.Record
	fail   bool
}

type owner struct {
	journal *journal
	dead    bool
}

// Append implements chestnutcleat.Journal.
func (o *owner) Append(records []chestnutcleat.Record, done func(error)) {
	o.journal.loop.After(time.Millisecond, func() {
		if o.dead && o.journal.rand.IntN(2) == 0 {
			return
		}
		for _, r := range records {
			if old, ok := o.journal.stored[r.Name]; !ok || old.Sequence < r.Sequence {
				o.journal.stored[r.Name] = r
			}
		}
		if o.dead {
			return
		}
		if o.journal.fail {
			done(errors.New("no majority"))
			return
		}
		done(nil)
	})
}

// reference is an independent token bucket that counts in integer nanotokens.
type reference struct {
	rate, burst int64
	nano        int64
	at          time.Time
}

const nano = 1_000_000_000

func (r *reference) refill() {
	now := time.Now()
	r.nano = min(r.burst*nano, r.nano+r.rate*now.Sub(r.at).Nanoseconds())
	r.at = now
}

// Guards against tokens granted twice or lost when the owner of a customer changes at random times.
func TestBucketAcrossOwners(t *testing.T) {
	cases := []struct {
		name                   string
		rate, burst            int64
		lost, graceful, errors bool
		load                   float64
	}{
		{name: "calm", rate: 50, burst: 20, load: 0.9},
		{name: "calm, overload", rate: 50, burst: 20, load: 5},
		{name: "slow customer", rate: 1, burst: 3, load: 3},
		{name: "graceful", rate: 50, burst: 20, load: 1.5, graceful: true},
		{name: "lost", rate: 50, burst: 100, load: 2, lost: true},
		{name: "lost, small burst", rate: 50, burst: 5, load: 1, lost: true},
		{name: "lost and graceful", rate: 20, burst: 40, load: 1.2, lost: true, graceful: true},
		{name: "journal errors", rate: 20, burst: 40, load: 1.2, lost: true, graceful: true, errors: true},
	}
	for _, c := range cases {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s/seed %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					l := control.New()
					go l.Run(ctx)
					random := rand.New(rand.NewPCG(seed, 1))
					j := &journal{loop: l, rand: random, stored: map[string]chestnutcleat.Record{}}
					slot := chestnutcleat.CustomerKey(customerID).Slot()
					ref := &reference{rate: c.rate, burst: c.burst, nano: c.burst * nano, at: time.Now()}
					var limiter *limit.Limiter
					var o *owner
					start := func() {
						o = &owner{journal: j}
						limiter = &limit.Limiter{Loop: l, Journal: o, Customer: func(chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
							return chestnutcleat.Customer{ID: customerID, Rate: float64(c.rate), Burst: float64(c.burst)}, true
						}}
					}
					start()
					admitted, refused, overAdmitted, wronglyRefused, pending := 0, 0, 0, 0, int64(0)
					ask := func(id int) {
						alive := o
						pending++
						limiter.Take(chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(fmt.Sprint(id)), Customer: customerID, Count: 1}, func(r chestnutcleat.TakeReply) {
							pending--
							if r.OwnerChanged || alive.dead {
								return
							}
							ref.refill()
							if r.Admitted {
								admitted++
								ref.nano -= nano
								if ref.nano < -nano/1000 {
									overAdmitted++
								}
								return
							}
							refused++
							if ref.nano >= (pending+1)*nano+nano/1000 {
								wronglyRefused++
							}
						})
					}
					pauses := rand.New(rand.NewPCG(seed, 2))
					for i := range 2000 {
						time.Sleep(time.Duration(pauses.ExpFloat64() * float64(time.Second) / (float64(c.rate) * c.load)))
						l.Do(ctx, func() {
							j.fail = c.errors && random.IntN(4) == 0
							ask(i)
							switch random.IntN(100) {
							case 0:
								if c.graceful {
									records := limiter.Export(slot)
									o.dead = true
									limiter.Drop(slot)
									start()
									limiter.Import(slot, records, chestnutcleat.Transfer{})
								}
							case 1:
								if c.lost {
									o.dead = true
									pending = 0
									limiter.Drop(slot)
									pending = 0
									start()
									var records []chestnutcleat.Record
									for _, r := range j.stored {
										records = append(records, r)
									}
									limiter.Import(slot, records, chestnutcleat.Transfer{Lost: true})
								}
							}
						})
					}
					time.Sleep(10 * time.Second)
					synctest.Wait()
					t.Logf("seed %d: admitted %d, refused %d, over-admitted %d, wrongly refused %d", seed, admitted, refused, overAdmitted, wronglyRefused)
					if overAdmitted != 0 || wronglyRefused != 0 || pending != 0 || admitted == 0 {
						t.Errorf("seed %d: over-admitted %d, wrongly refused %d, pending %d, admitted %d", seed, overAdmitted, wronglyRefused, pending, admitted)
					}
				})
			})
		}
	}
}

// fixture runs f with a limiter and a manifest of one customer, which f may change.
func fixture(t *testing.T, f func(is *is.I, l *control.Loop, limiter *limit.Limiter, c map[chestnutcleat.CustomerID]chestnutcleat.Customer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := control.New()
		go l.Run(ctx)
		j := &journal{loop: l, rand: rand.New(rand.NewPCG(1, 1)), stored: map[string]chestnutcleat.Record{}}
		c := map[chestnutcleat.CustomerID]chestnutcleat.Customer{customerID: {ID: customerID, Rate: 10, Burst: 5}}
		limiter := &limit.Limiter{Loop: l, Journal: &owner{journal: j}, VM: "a", Customer: func(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
			v, ok := c[id]
			return v, ok
		}}
		f(is.New(t), l, limiter, c)
	})
}

// take requests one token and waits for the reply.
func take(l *control.Loop, limiter *limit.Limiter, c chestnutcleat.CustomerID, id string) chestnutcleat.TakeReply {
	out := make(chan chestnutcleat.TakeReply, 1)
	l.Post(func() {
		limiter.Take(chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(id), Customer: c, Count: 1}, func(r chestnutcleat.TakeReply) { out <- r })
	})
	return <-out
}

// Guards against a customer that gets no tokens after a failed handover.
func TestResumeAfterExport(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, _ map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		is.True(take(l, limiter, customerID, "before").Admitted)
		admitted := 0
		slot := chestnutcleat.CustomerKey(customerID).Slot()
		l.Do(context.Background(), func() {
			limiter.Export(slot)
			limiter.Take(chestnutcleat.TakeRequest{ID: "waiting", Customer: customerID, Count: 1}, func(r chestnutcleat.TakeReply) {
				if r.Admitted {
					admitted++
				}
			})
		})
		time.Sleep(time.Second)
		is.Equal(admitted, 0)
		l.Do(context.Background(), func() { limiter.Resume(slot) })
		time.Sleep(time.Second)
		is.Equal(admitted, 1)
		is.True(take(l, limiter, customerID, "after").Admitted)
	})
}

// Guards against a second token taken by a retried request, and against a Retry that is too short or too long.
func TestRepeatAndExactRetry(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, _ map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		for range 100 {
			is.True(take(l, limiter, customerID, "same").Admitted)
		}
		for i := range 4 {
			is.True(take(l, limiter, customerID, fmt.Sprint(i)).Admitted)
		}
		r := take(l, limiter, customerID, "late")
		is.True(!r.Admitted)
		time.Sleep(r.Retry - time.Microsecond)
		is.True(!take(l, limiter, customerID, "late").Admitted)
		time.Sleep(time.Microsecond)
		is.True(take(l, limiter, customerID, "late").Admitted)
	})
}

// Guards against a customer that must wait, after its owner was lost, for tokens that had been refilled before.
func TestIdleCustomerKeepsBurst(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, c map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		c[customerID] = chestnutcleat.Customer{ID: customerID, Rate: 10, Burst: 100}
		for i := range 100 {
			is.True(take(l, limiter, customerID, fmt.Sprint(i)).Admitted)
		}
		time.Sleep(20 * time.Second)
		o := limiter.Journal.(*owner)
		next := &limit.Limiter{Loop: l, Journal: &owner{journal: o.journal}, Customer: limiter.Customer}
		l.Post(func() {
			o.dead = true
			slot := chestnutcleat.CustomerKey(customerID).Slot()
			next.Import(slot, []chestnutcleat.Record{o.journal.stored["customer/"+string(customerID)]}, chestnutcleat.Transfer{Lost: true})
		})
		start := time.Now()
		for i := range 90 {
			is.True(take(l, next, customerID, fmt.Sprint("n", i)).Admitted)
		}
		is.True(time.Since(start) < 100*time.Millisecond) // virtual time: only the storing of reservations
	})
}

// Guards against extra tokens when a manifest changes the rate or burst.
func TestRateChange(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, c map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		count := func() int {
			n := 0
			for take(l, limiter, customerID, "").Admitted {
				n++
			}
			return n
		}
		is.Equal(count(), 5)
		c[customerID] = chestnutcleat.Customer{ID: customerID, Rate: 1000, Burst: 1000}
		l.Post(limiter.Refresh)
		is.True(count() <= 5) // at most the refill of the milliseconds that storing the reservation takes
		time.Sleep(10 * time.Second)
		c[customerID] = chestnutcleat.Customer{ID: customerID, Rate: 1, Burst: 3}
		l.Post(limiter.Refresh)
		is.Equal(count(), 3)
	})
}

// Guards against level 0 for a customer above its fair share, and against level 1 for the only active one.
func TestLevel(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, c map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		c["bia"] = chestnutcleat.Customer{ID: "bia", Rate: 10, Burst: 10}
		use := func(limiter *limit.Limiter, id chestnutcleat.CustomerID, cost float64) {
			l.Post(func() {
				r := chestnutcleat.UsageReport{ID: chestnutcleat.RequestID(id), Customer: id, Cost: cost}
				limiter.Usage(r)
				limiter.Usage(r)
			})
			time.Sleep(time.Second)
		}
		use(limiter, customerID, 10)
		is.Equal(take(l, limiter, customerID, "1").Level, chestnutcleat.Level(0))
		other := &limit.Limiter{Loop: l, Journal: limiter.Journal, VM: "b", Customer: limiter.Customer}
		use(other, "bia", 2)
		l.Post(func() { limiter.Merge(other.Summary()) })
		time.Sleep(time.Second)
		is.Equal(take(l, limiter, customerID, "2").Level, chestnutcleat.Level(1))
		time.Sleep(time.Minute)
		is.Equal(take(l, limiter, customerID, "3").Level, chestnutcleat.Level(0))
	})
}
