package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestStarts: a generation that is to go on at a new start is a fault once all boxes must know
// of that start.
func TestStarts(t *testing.T) {
	h := calm()
	h.Restarts = []history.Restart{{Server: "s", Acked: ms(9000)}}
	kept(t, Starts, h)
	h.Arrivals[0].Continued, h.Arrivals[0].Lost, h.Arrivals[0].Ran = true, true, false
	broken(t, Starts, h)
	require.Len(t, Starts(on(h)), 1)
	for name, change := range map[string]func(h *history.History){
		"it is recent":   func(h *history.History) { h.Restarts = []history.Restart{{Server: "s", Acked: ms(9300)}} },
		"another server": func(h *history.History) { h.Restarts = []history.Restart{{Server: "t", Acked: ms(9000)}} },
		"another box": func(h *history.History) {
			h.Lives = append(h.Lives, history.Life{Box: "b"})
			h.Troubles = []history.Trouble{trouble(history.OnBox, "b", 6100, 6200)}
		},
		"the store": func(h *history.History) {
			h.Troubles = []history.Trouble{trouble(history.OnStore, "", 9100, 9200)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := h
			change(&h)
			kept(t, Starts, h)
		})
	}
	h.Troubles = []history.Trouble{trouble(history.OnServer, "s", 8000, 9000)}
	broken(t, Starts, h)
}
