package caller

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shape describes what programs look like.
type Shape struct {
	// Turns is the smallest number of turns; the number has a Pareto distribution with exponent Tail.
	Turns    int
	Tail     float64
	MaxTurns int
	// Pause is the mean time between two turns.
	Pause time.Duration
	// Agents is the probability that a turn starts a sub-agent.
	Agents float64
	// System, Input and Output are mean numbers of tokens of the system prompt, of a turn's input and of its answer.
	System int
	Input  int
	Output int
}

// DefaultShape returns the shape used by the demo.
func DefaultShape() Shape {
	return Shape{Turns: 3, Tail: 1.5, MaxTurns: 40, Pause: 200 * time.Millisecond, Agents: 0.15, System: 800, Input: 100, Output: 40}
}

// turns draws the number of turns of a program.
func (s Shape) turns(r *rand.Rand) int {
	n := float64(max(s.Turns, 1))
	if s.Tail > 0 {
		n /= math.Pow(1-r.Float64(), 1/s.Tail)
	}
	if s.MaxTurns > 0 {
		n = min(n, float64(s.MaxTurns))
	}
	return int(n)
}

// pause draws the time between two turns.
func (s Shape) pause(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(s.Pause))
}

// length draws a number of tokens with the given mean.
func length(r *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.5+r.Float64())))
}
