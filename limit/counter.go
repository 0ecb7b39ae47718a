package limit

import (
	"math"
	"time"
)

// usageHalfLife is the half-life of recorded usage. Without decay, a customer that was idle for long would take precedence
// over all others.
const usageHalfLife = 15 * time.Second

// counter is a sum that decays exponentially with halfLife.
type counter struct {
	value float64
	at    time.Time
}

func (c *counter) read(now time.Time) float64 {
	if d := now.Sub(c.at); d > 0 {
		c.value *= math.Exp2(-float64(d) / float64(usageHalfLife))
		c.at = now
	}
	return c.value
}

func (c *counter) add(v float64, now time.Time) {
	c.read(now)
	c.value += v
}
