package occupancy

import "time"

const (
	historySlots = 64
	historyStep  = 50 * time.Millisecond
)

// history holds what this box ran on an engine over the last seconds, for comparison with lagging
// reports.
type history struct {
	slots [historySlots]sample
	next  int
}

// sample is the state at one moment.
type sample struct {
	at     time.Time
	tokens float64
	count  int
}

// record adds a sample; several within a step overwrite each other.
func (h *history) record(now time.Time, tokens float64, count int) {
	last := (h.next + historySlots - 1) % historySlots
	if !h.slots[last].at.IsZero() && now.Sub(h.slots[last].at) < historyStep {
		h.slots[last].tokens = tokens
		h.slots[last].count = count
		return
	}
	h.slots[h.next] = sample{at: now, tokens: tokens, count: count}
	h.next = (h.next + 1) % historySlots
}

// at returns the latest sample not after a moment, or zeros if there is none.
func (h *history) at(moment time.Time) (tokens float64, count int) {
	for i := 1; i <= historySlots; i++ {
		s := h.slots[(h.next+historySlots-i)%historySlots]
		if s.at.IsZero() {
			break
		}
		if !s.at.After(moment) {
			return s.tokens, s.count
		}
	}
	return 0, 0
}
