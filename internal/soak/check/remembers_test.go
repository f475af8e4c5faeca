package check

import (
	"testing"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// TestRemembers: a process that has learnt of a leaving goes by that when the store comes back from a copy without it.
func TestRemembers(t *testing.T) {
	returned := func(change func(h *history.History)) history.History {
		h := history.History{
			Requests: []history.Request{asked("r", nil)},
			Arrivals: []history.Arrival{came("r", nil)},
			Leavings: []history.Leaving{{Server: "s", Acked: ms(4000)}},
			Lives:    []history.Life{{Box: "a", Number: 1, From: ms(100), To: ms(20000)}},
			Troubles: []history.Trouble{{Kind: schedule.StoreReturns, Scope: history.OnStore, From: ms(8000), To: ms(9000)}},
		}
		change(&h)
		return h
	}
	broken(t, Remembers, returned(func(*history.History) {}))
	kept(t, Drain, returned(func(*history.History) {}))
	kept(t, Remembers, returned(func(h *history.History) { h.Arrivals[0].At = ms(5500) }))
	kept(t, Remembers, returned(func(h *history.History) { h.Leavings[0].Server = "other" }))
	kept(t, Remembers, returned(func(h *history.History) { h.Lives[0].Number = 2 }))
	kept(t, Remembers, returned(func(h *history.History) { h.Lives[0].From = ms(4001) }))
	kept(t, Remembers, returned(func(h *history.History) { h.Troubles[0].From = ms(4500) }))
	kept(t, Remembers, returned(func(h *history.History) {
		h.Troubles = append(h.Troubles, trouble(history.OnBox, "a", 8000, 9000))
	}))
	kept(t, Remembers, returned(func(h *history.History) {
		h.Troubles = append(h.Troubles, trouble(history.OnServer, "s", 8000, 9000))
	}))
}
