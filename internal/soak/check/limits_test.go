package check

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// TestLimits: a server that names 3 a second from 10 s on gets 23 in 4 s at most, from 3.5 s later on.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		// first, every and count are when requests came, in ms, and how many.
		first, every, count int
		// untold has the server's answers name no limit, unpassed that they reach no caller.
		untold, unpassed bool
		// later is a second limit, from 14 s on.
		later    float64
		troubles []history.Trouble
		broken   bool
	}{
		"as many as allowed":           {first: 10050, every: 180, count: 44},
		"too many":                     {first: 10050, every: 160, count: 50, broken: true},
		"too many, soon":               {first: 10050, every: 50, count: 60},
		"too many, late":               {first: 18100, every: 50, count: 60},
		"by a box that was not told":   {first: 10050, every: 50, count: 150, untold: true},
		"told by an answer that broke": {first: 10050, every: 50, count: 150, unpassed: true},
		"by a box whose server starts again": {first: 10050, every: 50, count: 150, troubles: []history.Trouble{
			{Kind: schedule.ServerRestarts, Scope: history.OnServer, Target: "s", From: ms(12000), To: ms(12100)},
		}},
		"too many before it starts again": {first: 10050, every: 50, count: 150, broken: true, troubles: []history.Trouble{
			{Kind: schedule.ServerRestarts, Scope: history.OnServer, Target: "s", From: ms(15000), To: ms(15100)},
		}},
		"by a box that was paused":                           {first: 10050, every: 50, count: 150, troubles: []history.Trouble{trouble(history.OnBox, "a", 10500, 10600)}},
		"by a box without the store":                         {first: 10050, every: 50, count: 150, troubles: []history.Trouble{trouble(history.OnStoreLink, "a", 10500, 10600)}, broken: true},
		"as many as the higher one allows, until it is over": {first: 10050, every: 180, count: 43, later: 1},
		"more than a lower one allows":                       {first: 10050, every: 200, count: 60, later: 1, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := history.History{Troubles: c.troubles, Limits: []history.Limit{{Server: "s", PerSecond: 3, From: ms(10000), To: ms(18000)}}}
			if c.later > 0 {
				h.Limits = []history.Limit{
					{Server: "s", PerSecond: 3, From: ms(10000), To: ms(14000)},
					{Server: "s", PerSecond: c.later, From: ms(14000), To: ms(24000)},
				}
			}
			for n := range c.count {
				at := c.first + n*c.every
				id := fmt.Sprintf("q%d", n)
				h.Requests = append(h.Requests, asked(id, func(q *history.Request) {
					q.Sent, q.Done, q.Whole = ms(at-5), ms(at+5), !c.unpassed
				}))
				h.Arrivals = append(h.Arrivals, came(id, func(a *history.Arrival) { a.At, a.Limited = ms(at), !c.untold }))
			}
			if c.broken {
				require.Len(t, Limits(on(h)), 1)
			} else {
				require.Empty(t, Limits(on(h)))
			}
		})
	}
}
