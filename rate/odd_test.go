package rate

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

// newOpenLimiter returns the limiter of one of two VMs whose share of 10 tokens is open.
func newOpenLimiter() (*Limiter, *account) {
	l := NewLimiter("a", testWindow)
	l.SetVMs([]chestnutcleat.VMID{"a", "b"})
	l.SetCustomers([]config.Customer{{ID: customer, Rate: 4}})
	time.Sleep(2 * testWindow)
	a := l.customers[customer]
	a.advance(time.Now())
	return l, a
}

// Numbers that no VM can mean must count as no tokens: one grant of infinite tokens admitted everything for a while, and one that is not
// a number kept a VM from asking for more.
func TestOddTokens(t *testing.T) {
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, a := newOpenLimiter()
				l.ReceiveTokens(Tokens{customer: n, "unknown": n}, time.Now())
				is.Equal(a.borrowedLeft(), 0.0)
				is.Equal(a.emptyAnswers, uint64(1))
				l.ReceiveTokens(Tokens{customer: 2}, time.Now())
				is.Equal(a.borrowedLeft(), 2.0)
				is.Equal(l.Lend(Tokens{customer: n, "unknown": n}), Tokens{customer: 0})
				is.Equal(l.Lend(Tokens{customer: 3}), Tokens{customer: 3})
			})
		})
	}
}

// A report with times far off must not block a customer: a use of 292 years ago became one of the far future and never expired.
func TestOddTimesInReport(t *testing.T) {
	for _, age := range []time.Duration{math.MaxInt64, math.MaxInt64 - time.Second, math.MinInt64, -time.Hour, time.Hour} {
		t.Run(age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, a := newOpenLimiter()
				l.Restore(Usage{customer: {{Age: age, Tokens: 5}}}, 3*time.Second)
				time.Sleep(2 * testWindow)
				is.Equal(a.advance(time.Now()), 10.0)
			})
		})
	}
}
