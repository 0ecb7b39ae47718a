package limit

import (
	"math"
	"time"
)

// rounding absorbs floating-point error; the tokens it lends are taken back with the next refill.
const rounding = 1e-6

// bucket is a token bucket that is refilled when it is read.
type bucket struct {
	tokens float64
	rate   float64
	burst  float64
	at     time.Time
}

// refill adds the tokens since the last refill. A clock that goes back adds none.
func (b *bucket) refill(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
	b.at = now
}

// set changes the rate and burst; the bucket keeps its tokens up to the new burst.
func (b *bucket) set(rate, burst float64) {
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) has(n float64) bool { return b.tokens >= n-rounding }

// until returns the time after which n tokens have come together; n may exceed the burst if some are used before.
func (b *bucket) until(n float64) time.Duration {
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
