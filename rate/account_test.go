package rate

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A loan must expire by the clock that advanced more. After a suspension the monotonic clock is behind, and the wall clock may have
// been set back, so a borrower that trusts only one of them may use tokens that the lender has freed for use again.
func TestElapsed(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ monotonic, wall, want time.Duration }{
		{time.Second, time.Second, time.Second},
		{time.Millisecond, 5 * time.Second, 5 * time.Second}, // suspended
		{time.Second, -2 * time.Second, 2 * time.Second},     // wall clock set back
		{time.Second, time.Millisecond, time.Second},         // wall clock set back by the time that passed
	} {
		is.Equal(elapsed(tt.monotonic, tt.wall), tt.want)
	}
}

// A use must count for the whole window and at most one slot longer.
func TestWindowSlots(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	w := window{length: testWindow, start: start}
	w.add(start.Add(time.Second), 3)
	w.expire(start.Add(time.Second + testWindow - slotTime))
	is.Equal(w.total, 3.0)
	w.expire(start.Add(time.Second + testWindow + 2*slotTime))
	is.Equal(w.total, 0.0)
	is.Equal(w.slotNumber(start.Add(-time.Millisecond)), int64(0)) // no slot before the first
}

// Shares must be whole tokens and add up to all of them: with even shares of 60 tokens, each of eight holders wastes half a token.
func TestShares(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		windowTokens float64
		n            int
	}{{60, 8}, {72.5, 8}, {3, 8}, {96, 4}, {0.5, 3}} {
		sum := 0.0
		for i := range tt.n {
			share := shareOf(tt.windowTokens, tt.n, i)
			sum += share
			is.True(i == 0 || share == math.Floor(share))
			is.True(math.Abs(share-tt.windowTokens/float64(tt.n)) < 2)
		}
		is.Equal(sum, tt.windowTokens)
	}
}

// All VMs must choose the same holders, each share must be worth a request, and adding a VM must replace at most one holder.
func TestHolders(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		vms, want    int
		windowTokens float64
	}{{1, 1, 1000}, {7, 7, 5}, {50, 8, 96}, {50, 10, 200}, {50, 50, 1500}} {
		l := limit{vms: tt.vms}
		list := chooseHolders(customer, tt.windowTokens, l.ids())
		is.Equal(len(list), tt.want)
		ids := l.ids()
		slices.Reverse(ids)
		is.Equal(chooseHolders(customer, tt.windowTokens, ids), list)
		more := chooseHolders(customer, tt.windowTokens, append(ids, "another"))
		changed := 0
		for _, id := range list {
			if !slices.Contains(more, id) {
				changed++
			}
		}
		is.True(changed <= 1)
	}
}
