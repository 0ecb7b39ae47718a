package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/limit"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

// inlineLoop runs posted functions immediately and no timers.
type inlineLoop struct{}

func (inlineLoop) Post(f func()) { f() }

func (inlineLoop) After(time.Duration, func()) chestnutcleat.Timer { return stopped{} }

type stopped struct{}

func (stopped) Stop() bool { return true }

// noopJournal stores nothing and reports success.
type noopJournal struct{}

func (noopJournal) Append(_ []chestnutcleat.Record, done func(error)) { done(nil) }

// BenchmarkCustomer measures memory and time per customer; one operation takes one token of each of n customers.
func BenchmarkCustomer(b *testing.B) {
	for _, n := range []int{312, 1250, 5000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			before := resources.LiveHeap()
			limiter := &limit.Limiter{Loop: inlineLoop{}, Journal: noopJournal{}, VM: "vm1", Customer: func(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
				return chestnutcleat.Customer{ID: id, Rate: 1e6, Burst: 1e6}, true
			}}
			round := 0
			for b.Loop() {
				round++
				for i := range n {
					id := chestnutcleat.CustomerID(fmt.Sprint("customer-", i))
					limiter.Take(chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(fmt.Sprint(round, "/", i)), Customer: id, Count: 1}, func(chestnutcleat.TakeReply) {})
				}
			}
			b.ReportMetric((float64(resources.LiveHeap())-float64(before))/float64(n), "heapB/customer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/take")
			runtime.KeepAlive(limiter)
		})
	}
}
