// Package drainplan decides which generations of a leaving engine are moved, and in which order.
//
// It is made for fleets in which engines with many generations leave at short notice. Copies are
// transferred one after the other over an engine's link, and each takes memory at its target. A
// generation that ends before its engine does needs neither, and moving it delays those that are
// cut off otherwise.
//
// The package has no state, clock or network access.
package drainplan

import "time"

const (
	// minCutOffProbability is the probability of being cut off from which a generation is moved.
	// Below it nine moves of ten would save no generation, and each of them takes the memory of one
	// at an engine that others need.
	minCutOffProbability = 0.1
	// preemptedCost is the cost of preempting a generation at the migration target, relative to
	// that of cutting one off: a preempted one waits until its prompt is prefilled again, a cut-off
	// one ends.
	preemptedCost = 0.5
	// defaultTokenTime is the time per token before a generation's own is known, about that of the
	// users' engines with half of their slots in use. It counts as much as defaultTokenWeight
	// tokens, as the first events may come at once after a wait.
	defaultTokenTime   = 10 * time.Millisecond
	defaultTokenWeight = 16
)

// Generation describes a generation on a leaving engine.
type Generation struct {
	// Generated is the number of tokens that it has generated.
	Generated int
	// MaxTokens bounds the tokens to generate; 0 is no bound.
	MaxTokens int
	// Elapsed is the time since its first token.
	Elapsed time.Duration
	// Outlives returns the probability that an answer of n tokens becomes longer than n+ahead.
	Outlives func(n, ahead int) float64
}

// CutOffProbability returns the probability that the generation still runs when its engine stops,
// which is 1 if no time is left.
func (g *Generation) CutOffProbability(left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	ahead := int(left / g.tokenTime())
	if g.MaxTokens > 0 && g.Generated+ahead >= g.MaxTokens {
		return 0
	}
	return g.Outlives(g.Generated, ahead)
}

// WorthMoving reports whether a generation is to be moved now, given its probability of being cut
// off and the overrun probability of its best migration target.
func WorthMoving(cutOff, overrun float64) bool {
	return cutOff >= max(minCutOffProbability, preemptedCost*overrun)
}

// tokenTime returns the estimated time per token.
func (g *Generation) tokenTime() time.Duration {
	return (defaultTokenWeight*defaultTokenTime + g.Elapsed) / time.Duration(defaultTokenWeight+g.Generated)
}
