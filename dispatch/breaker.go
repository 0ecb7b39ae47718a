package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// failureLimit is the number of failures in a row that opens the breaker; a crash opens it at once.
	failureLimit = 3
	// probePause is the first pause before a probe; it doubles up to maxProbePause.
	probePause    = time.Second
	maxProbePause = 10 * time.Second
	// probeChoice is how long a probed upstream waits for a repeatable request; then it takes any, as a route may
	// have no repeatable ones.
	probeChoice = 2 * time.Second
)

// breaker keeps requests from an upstream that fails and returns them slowly.
type breaker struct {
	health   chestnutcleat.Health
	failures int
	pause    time.Duration
	// ramp bounds the tickets of a recovered upstream; it doubles with each success, so that waiting requests
	// do not all arrive at once.
	ramp int
	// since is when the upstream answered a probe.
	since time.Time
}

func (b *breaker) fail(crashed bool) bool {
	b.failures++
	if b.health == chestnutcleat.HealthDown || !crashed && b.failures < failureLimit && b.health != chestnutcleat.HealthProbing {
		return false
	}
	b.health = chestnutcleat.HealthDown
	b.pause = min(maxProbePause, max(probePause, 2*b.pause))
	return true
}

// succeed returns whether the upstream has just recovered.
func (b *breaker) succeed(slots int) bool {
	b.failures = 0
	if b.health == chestnutcleat.HealthDown {
		return false
	}
	recovered := b.health == chestnutcleat.HealthProbing
	b.health = chestnutcleat.HealthUp
	b.pause = 0
	b.ramp = min(slots, max(1, 2*b.ramp))
	return recovered
}

func (b *breaker) probed() {
	b.health = chestnutcleat.HealthProbing
	b.ramp = 1
	b.since = time.Now()
}
