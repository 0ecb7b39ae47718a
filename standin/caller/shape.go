package caller

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shape holds the distributions from which programs are generated.
type Shape struct {
	// MinTurns is the minimum number of turns; the number has a Pareto distribution, capped at MaxTurns if that is positive.
	MinTurns       int
	ParetoExponent float64
	MaxTurns       int
	// MeanPause is the mean of the exponentially distributed time between two turns.
	MeanPause time.Duration
	// SubAgentProbability is the probability that a turn starts a sub-agent.
	SubAgentProbability float64
	// SystemTokens is the number of tokens of the system prompt; InputTokens and OutputTokens are the mean numbers of tokens of a turn's input and output.
	SystemTokens int
	InputTokens  int
	OutputTokens int
}

// DefaultShape returns the shape of programs in the demo.
func DefaultShape() Shape {
	return Shape{MinTurns: 3, ParetoExponent: 1.5, MaxTurns: 40, MeanPause: 200 * time.Millisecond, SubAgentProbability: 0.15, SystemTokens: 800, InputTokens: 100, OutputTokens: 40}
}

// randomTurns draws the number of turns of a program.
func (s Shape) randomTurns(r *rand.Rand) int {
	n := float64(max(s.MinTurns, 1))
	if s.ParetoExponent > 0 {
		n /= math.Pow(1-r.Float64(), 1/s.ParetoExponent)
	}
	if s.MaxTurns > 0 {
		n = min(n, float64(s.MaxTurns))
	}
	return int(n)
}

// randomPause draws the time between two turns.
func (s Shape) randomPause(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(s.MeanPause))
}

// randomLength draws a number of tokens, uniformly from half to one and a half times the mean.
func randomLength(r *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.5+r.Float64())))
}
