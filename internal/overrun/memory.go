// Package overrun tells how likely an engine's memory is to run over, so that a generation that runs
// there is pushed out and its prompt read again.
//
// Decisions only: no clock, no network, no state.
package overrun

import "math"

const (
	// grown is the part of the growth to come that is there at once at the worst moment: some
	// generations end while the rest grows.
	grown = 0.25
	// unknown is the part of a usual generation's memory by which a box's knowledge of an
	// engine is off, as a standard deviation: in one case of ten another box has just sent a
	// generation that is not known here.
	unknown = 0.4
)

// Memory is what is known of an engine's memory, in tokens, with a generation that may go there.
type Memory struct {
	// Total is the engine's memory.
	Total int
	// Held is what generations, copies and prompts take now; Growth is what they are expected to
	// take yet, each by itself.
	Held   int
	Growth int
	// Generations is their number, with the one that may go there.
	Generations int
}

// Chance returns the chance that the memory runs over before some of the generations have ended,
// so that one of them is pushed out. What a box does not know of yet, and what generations take beyond
// their forecast, is taken to be normal.
func (m *Memory) Chance() float64 {
	n := float64(max(1, m.Generations))
	room := float64(m.Total) - float64(m.Held) - grown*float64(m.Growth)
	spread := math.Hypot(unknown*float64(m.Held)/n, grown*float64(m.Growth)/math.Sqrt(n))
	if spread == 0 {
		return 0
	}
	return math.Erfc(room/spread/math.Sqrt2) / 2
}
