package limit

import (
	"math"
	"time"
)

// rounding is the tolerance for floating-point error; the tokens that it grants are deducted from later refills.
const rounding = 1e-6

// bucket is a token bucket with lazy refill.
type bucket struct {
	tokens     float64
	rate       float64
	burst      float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill, none if the clock went back.
func (b *bucket) refill(now time.Time) {
	d := now.Sub(b.refilledAt)
	if d <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
	b.refilledAt = now
}

// set changes the rate and burst; tokens above the new burst are lost.
func (b *bucket) set(rate, burst float64) {
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) has(n float64) bool { return b.tokens >= n-rounding }

// timeUntil returns the time until n tokens have accumulated. The burst does not limit n, since queued requests use some
// tokens before.
func (b *bucket) timeUntil(n float64) time.Duration {
	if b.has(n) {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	s := (n - b.tokens) / b.rate
	if s > math.MaxInt64/1e9/2 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(s * 1e9))
}
