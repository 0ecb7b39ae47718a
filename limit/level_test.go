package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/limit"
)

// Guards against level 1 for a customer that is above its share of service only by chance, and against level 0 for one
// that is above its share of both service and open calls.
func TestLevelNeedsDemand(t *testing.T) {
	cases := []struct {
		name string
		// open and used are the customer's open calls and seconds of service; the other customer has 4 of each.
		open, used int
		want       chestnutcleat.Level
	}{
		{name: "equal", open: 4, used: 4},
		{name: "more service, usual demand", open: 4, used: 12},
		{name: "more demand, less service", open: 40, used: 2},
		{name: "more of both", open: 40, used: 8, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, m map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
				m[customerID] = chestnutcleat.Customer{ID: customerID, Rate: 1000, Burst: 1000}
				m["bia"] = chestnutcleat.Customer{ID: "bia", Rate: 1000, Burst: 1000}
				load := func(id chestnutcleat.CustomerID, open, used int) {
					for i := range open + used {
						is.True(take(l, limiter, id, fmt.Sprint(id, i)).Admitted)
					}
					for i := range used {
						l.Post(func() {
							limiter.Usage(chestnutcleat.UsageReport{ID: chestnutcleat.RequestID(fmt.Sprint(id, i)), Customer: id, Cost: 1, TokenRequest: chestnutcleat.RequestID(fmt.Sprint(id, i))})
						})
					}
				}
				load("bia", 4, 4)
				load(customerID, c.open, c.used)
				time.Sleep(10 * time.Second)
				take(l, limiter, customerID, "first")
				time.Sleep(10 * time.Second)
				is.Equal(take(l, limiter, customerID, "last").Level, c.want)
			})
		})
	}
}

// Guards against a customer that stays at level 1 for ever because of calls whose end was never reported.
func TestDemandIsForgotten(t *testing.T) {
	fixture(t, func(is *is.I, l *control.Loop, limiter *limit.Limiter, m map[chestnutcleat.CustomerID]chestnutcleat.Customer) {
		m[customerID] = chestnutcleat.Customer{ID: customerID, Rate: 1000, Burst: 1000}
		m["bia"] = chestnutcleat.Customer{ID: "bia", Rate: 1000, Burst: 1000}
		for i := range 40 {
			is.True(take(l, limiter, customerID, fmt.Sprint("lost", i)).Admitted)
		}
		use := func(id chestnutcleat.CustomerID, cost float64) {
			l.Post(func() {
				limiter.Usage(chestnutcleat.UsageReport{ID: chestnutcleat.RequestID(fmt.Sprint(id, time.Now())), Customer: id, Cost: cost})
			})
		}
		level := func(id string) chestnutcleat.Level {
			for i := range 4 {
				is.True(take(l, limiter, "bia", fmt.Sprint(id, "bia", i)).Admitted)
			}
			use("bia", 1)
			use(customerID, 2)
			time.Sleep(time.Second)
			return take(l, limiter, customerID, id).Level
		}
		level("first")
		time.Sleep(10 * time.Second)
		is.Equal(level("soon"), chestnutcleat.Level(1))
		time.Sleep(40 * time.Minute)
		is.Equal(level("later"), chestnutcleat.Level(0))
	})
}
