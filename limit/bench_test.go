package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/limit"
)

// direct runs posted functions at once and no timers.
type direct struct{}

func (direct) Post(f func()) { f() }

func (direct) After(time.Duration, func()) chestnutcleat.Timer { return stopped{} }

type stopped struct{}

func (stopped) Stop() bool { return true }

// acknowledge stores nothing and reports success.
type acknowledge struct{}

func (acknowledge) Append(_ []chestnutcleat.Record, done func(error)) { done(nil) }

// BenchmarkCustomer measures memory and time per customer; one operation takes one token of each of n customers.
func BenchmarkCustomer(b *testing.B) {
	for _, n := range []int{312, 1250, 5000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			before := live()
			k := &limit.Book{Loop: direct{}, Journal: acknowledge{}, VM: "vm1", Customer: func(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
				return chestnutcleat.Customer{ID: id, Rate: 1e6, Burst: 1e6}, true
			}}
			round := 0
			for b.Loop() {
				round++
				for i := range n {
					id := chestnutcleat.CustomerID(fmt.Sprint("customer-", i))
					k.Take(chestnutcleat.TakeRequest{ID: chestnutcleat.RequestID(fmt.Sprint(round, "/", i)), Customer: id, Count: 1}, func(chestnutcleat.TakeReply) {})
				}
			}
			b.ReportMetric((float64(live())-float64(before))/float64(n), "heapB/customer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/take")
			runtime.KeepAlive(k)
		})
	}
}

func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
