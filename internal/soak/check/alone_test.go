package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestAlone: a generation begins at one engine at 9 s and goes on at another one at 10 s. With the slack of these
// tests, the first may go on for 900 ms.
func TestAlone(t *testing.T) {
	for name, c := range map[string]struct {
		// to is when the first engine ends its work, in ms.
		to int
		// anew has the second begin without a copy, same has it be the same server.
		anew, same bool
		troubles   []history.Trouble
		broken     bool
	}{
		"ended before":           {to: 9900},
		"ended in time":          {to: 10900},
		"ended late":             {to: 10901, broken: true},
		"goes on to its end":     {to: 14000, broken: true},
		"another run":            {to: 14000, anew: true},
		"the same engine":        {to: 14000, same: true},
		"the box is disturbed":   {to: 14000, troubles: []history.Trouble{trouble(history.OnBox, "a", 9000, 9500)}},
		"the box lost its paths": {to: 14000, troubles: []history.Trouble{trouble(history.OnServerPaths, "a", 9000, 12000)}},
		"the link is disturbed":  {to: 14000, troubles: []history.Trouble{trouble(history.OnServer, "s", 10100, 10200)}},
		"disturbed long before":  {to: 14000, troubles: []history.Trouble{trouble(history.OnBox, "a", 1000, 2000)}, broken: true},
		"another box disturbed":  {to: 14000, troubles: []history.Trouble{trouble(history.OnBox, "b", 9000, 12000)}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			next := history.Work{ID: "q", Server: "other", Continued: !c.anew, From: ms(10000), To: ms(11000)}
			if c.same {
				next.Server = "s"
			}
			h := history.History{
				Requests: []history.Request{asked("q", nil)}, Troubles: c.troubles,
				Works: []history.Work{next, {ID: "q", Server: "s", From: ms(9000), To: ms(c.to)}},
			}
			if c.broken {
				require.Len(t, Alone(on(h)), 1)
			} else {
				require.Empty(t, Alone(on(h)))
			}
		})
	}
}
