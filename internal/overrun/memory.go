// Package overrun estimates the probability that an engine runs out of memory, so that a running
// generation is preempted and its prompt prefilled again.
//
// The package has no state, clock or network access.
package overrun

import "math"

const (
	// peakGrowthRatio is the part of the expected growth that exists at the peak: some generations
	// end while the others grow.
	peakGrowthRatio = 0.25
	// unknownLoadRatio is the standard deviation of the load that a box doesn't know of, relative
	// to the mean memory of a generation: in one case of ten another box has just sent a generation
	// that it has not reported yet.
	unknownLoadRatio = 0.4
)

// Memory is the known state of an engine's memory, in tokens, including a generation to place.
type Memory struct {
	// Total is the engine's memory.
	Total int
	// Held is what generations, copies and prompts take now; Growth is the sum of the growth that
	// is expected of each.
	Held   int
	Growth int
	// Generations is their number.
	Generations int
}

// OverrunProbability returns the probability that memory runs out before some of the generations
// have ended, so that one is preempted. Unknown load and growth beyond the forecast are taken to be
// normally distributed.
func (m *Memory) OverrunProbability() float64 {
	n := float64(max(1, m.Generations))
	room := float64(m.Total) - float64(m.Held) - peakGrowthRatio*float64(m.Growth)
	spread := math.Hypot(unknownLoadRatio*float64(m.Held)/n, peakGrowthRatio*float64(m.Growth)/math.Sqrt(n))
	if spread == 0 {
		return 0
	}
	return math.Erfc(room/spread/math.Sqrt2) / 2
}
