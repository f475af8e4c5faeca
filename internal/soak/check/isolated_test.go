package check

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestIsolated: box a, cut off from all servers from 10 s to 20 s, has to serve two thirds as often as b
// from 13.5 s on, or fail no more than 10 and one in 50 of its requests.
func TestIsolated(t *testing.T) {
	for name, c := range map[string]struct {
		// own and others are how many of 60 requests a box serves; prefix begins their ids.
		own, others int
		prefix      string
		first       int
		troubles    []history.Trouble
		broken      bool
	}{
		"as often as the others":        {own: 60, others: 60},
		"two thirds as often":           {own: 40, others: 60},
		"less often":                    {own: 39, others: 60, broken: true},
		"none":                          {own: 0, others: 60, broken: true},
		"the others serve few as well":  {own: 30, others: 45},
		"few fail":                      {own: 49, others: 60},
		"before the bound":              {own: 0, others: 60, first: 10100},
		"probes":                        {own: 0, others: 60, prefix: "probe"},
		"the box was paused":            {own: 0, others: 60, troubles: []history.Trouble{trouble(history.OnBox, "a", 13500, 13900)}},
		"the store was away":            {own: 0, others: 60, broken: true, troubles: []history.Trouble{trouble(history.OnStore, "", 13500, 13900)}},
		"the other is cut off as well":  {own: 0, others: 0, troubles: []history.Trouble{trouble(history.OnServerPaths, "b", 9000, 12100), trouble(history.OnServerPaths, "b", 14000, 20000)}},
		"the other was cut off earlier": {own: 0, others: 60, broken: true, troubles: []history.Trouble{trouble(history.OnServerPaths, "b", 1000, 9000)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := history.History{Troubles: append(c.troubles, trouble(history.OnServerPaths, "a", 10000, 20000))}
			if c.first == 0 {
				c.first = 13600
			}
			if c.prefix == "" {
				c.prefix = "call"
			}
			for n := range 60 {
				at := c.first + n*50
				for box, well := range map[string]int{"a": c.own, "b": c.others} {
					h.Requests = append(h.Requests, asked(fmt.Sprintf("%s-%s-%d", c.prefix, box, n), func(q *history.Request) {
						q.Box, q.Sent, q.Done = box, ms(at), ms(at+5)
						if n >= well {
							q.Status = 503
						}
					}))
				}
			}
			if c.broken {
				require.Len(t, Isolated(on(h)), 1)
			} else {
				require.Empty(t, Isolated(on(h)))
			}
		})
	}
}
