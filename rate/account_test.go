package rate

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A loan must end by the clock that shows more: after a suspension the steady clock is behind, and the time of day may have leapt
// back, so a borrower that trusts one of them uses tokens that the lender admits again.
func TestElapsed(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ steady, day, want time.Duration }{
		{time.Second, time.Second, time.Second},
		{time.Millisecond, 5 * time.Second, 5 * time.Second}, // suspended
		{time.Second, -2 * time.Second, 2 * time.Second},     // leapt back
		{time.Second, time.Millisecond, time.Second},         // leapt back by as much
	} {
		is.Equal(elapsed(tt.steady, tt.day), tt.want)
	}
}

// A use must count for the whole window and no slot longer.
func TestWindowSlots(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	w := window{length: window5, begun: begun}
	w.add(begun.Add(time.Second), 3)
	w.forget(begun.Add(time.Second + window5 - slotTime))
	is.Equal(w.total, 3.0)
	w.forget(begun.Add(time.Second + window5 + 2*slotTime))
	is.Equal(w.total, 0.0)
	is.Equal(w.slotOf(begun.Add(-time.Millisecond)), int64(0)) // no slot before the first
}

// The parts must be whole tokens and add up to the whole: an eighth of 60 tokens lends seven and wastes a half at each holder.
func TestParts(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		whole float64
		n     int
	}{{60, 8}, {72.5, 8}, {3, 8}, {96, 4}, {0.5, 3}} {
		sum := 0.0
		for i := range tt.n {
			part := partOf(tt.whole, tt.n, i)
			sum += part
			is.True(i == 0 || part == math.Floor(part))
			is.True(math.Abs(part-tt.whole/float64(tt.n)) < 2)
		}
		is.Equal(sum, tt.whole)
	}
}

// All VMs must divide a customer's tokens in the same way, the parts must be worth a request, and the list of one VM more
// must move few of them.
func TestHolders(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		vms, want int
		whole     float64
	}{{1, 1, 1000}, {7, 7, 5}, {50, 8, 96}, {50, 10, 200}, {50, 50, 1500}} {
		l := limit{vms: tt.vms}
		list := holdersOf(customer, tt.whole, l.ids())
		is.Equal(len(list), tt.want)
		ids := l.ids()
		slices.Reverse(ids)
		is.Equal(holdersOf(customer, tt.whole, ids), list)
		more := holdersOf(customer, tt.whole, append(ids, "another"))
		changed := 0
		for _, id := range list {
			if !slices.Contains(more, id) {
				changed++
			}
		}
		is.True(changed <= 1)
	}
}
