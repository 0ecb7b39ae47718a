package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// failureThreshold is the number of consecutive failures that opens the breaker; a crash opens it immediately.
	failureThreshold = 3
	// minProbeBackoff is the delay before the first probe; it doubles up to maxProbeBackoff.
	minProbeBackoff = time.Second
	maxProbeBackoff = 10 * time.Second
	// repeatableProbeWindow is how long a half-open upstream accepts only repeatable requests. After that it accepts any,
	// because a route may have no repeatable requests.
	repeatableProbeWindow = 2 * time.Second
)

// breaker is a circuit breaker: it stops requests to a failing upstream and ramps traffic up after recovery.
// HealthProbing is its half-open state.
type breaker struct {
	health   chestnutcleat.Health
	failures int
	backoff  time.Duration
	// rampLimit is the ticket limit of a recovering upstream. It doubles with each success (slow start), so that queued
	// requests do not all arrive at once.
	rampLimit int
	// probedAt is the time at which the breaker became half-open.
	probedAt time.Time
}

// recordFailure counts a failure and returns whether it opened the breaker.
func (b *breaker) recordFailure(crashed bool) bool {
	b.failures++
	if b.health == chestnutcleat.HealthDown || !crashed && b.failures < failureThreshold && b.health != chestnutcleat.HealthProbing {
		return false
	}
	b.health = chestnutcleat.HealthDown
	b.backoff = min(maxProbeBackoff, max(minProbeBackoff, 2*b.backoff))
	return true
}

// recordSuccess returns whether the success closed a half-open breaker.
func (b *breaker) recordSuccess(slots int) bool {
	b.failures = 0
	if b.health == chestnutcleat.HealthDown {
		return false
	}
	recovered := b.health == chestnutcleat.HealthProbing
	b.health = chestnutcleat.HealthUp
	b.backoff = 0
	b.rampLimit = min(slots, max(1, 2*b.rampLimit))
	return recovered
}

// startProbing makes the breaker half-open.
func (b *breaker) startProbing() {
	b.health = chestnutcleat.HealthProbing
	b.rampLimit = 1
	b.probedAt = time.Now()
}
