package check

import (
	"testing"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// TestWakes: a box that was paused while a server left sends it nothing once it runs again.
func TestWakes(t *testing.T) {
	slept := func(change func(h *history.History)) history.History {
		h := history.History{
			Requests: []history.Request{asked("r", nil)},
			Arrivals: []history.Arrival{came("r", nil)},
			Leavings: []history.Leaving{{Server: "s", Acked: ms(7500)}},
			Troubles: []history.Trouble{{Kind: schedule.BoxesSleep, Scope: history.OnBox, Target: "a", From: ms(7000), To: ms(10000)}},
		}
		change(&h)
		return h
	}
	broken(t, Wakes, slept(func(*history.History) {}))
	broken(t, Wakes, slept(func(h *history.History) { h.Troubles[0].Kind = schedule.BoxPause }))
	kept(t, Wakes, slept(func(h *history.History) { h.Arrivals[0].At = ms(9999) }))
	kept(t, Wakes, slept(func(h *history.History) { h.Leavings[0].Acked = ms(8001) }))
	kept(t, Wakes, slept(func(h *history.History) { h.Leavings[0].Server = "other" }))
	kept(t, Wakes, slept(func(h *history.History) { h.Troubles[0].Target = "b" }))
	kept(t, Wakes, slept(func(h *history.History) { h.Troubles[0].Kind = schedule.BoxKill }))
	kept(t, Wakes, slept(func(h *history.History) {
		h.Troubles = append(h.Troubles, trouble(history.OnStoreLink, "a", 8000, 9000))
	}))
	kept(t, Wakes, slept(func(h *history.History) {
		h.Troubles = append(h.Troubles, trouble(history.OnServer, "s", 8000, 9000))
	}))
}
