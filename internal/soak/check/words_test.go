package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestLeaves: a server says that it leaves in the answer to the first request, which came to it at 10 s and was
// passed on 5 ms later.
func TestLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		// sent is when the second request was sent, in ms.
		sent int
		// unpassed has the first answer break off, other has the second request come to another box, and later to
		// another process of the box.
		unpassed, other, later bool
		troubles               []history.Trouble
		broken                 bool
	}{
		"sent soon":                        {sent: 12000},
		"sent late":                        {sent: 12010, broken: true},
		"the answer broke off":             {sent: 15000, unpassed: true},
		"by another box":                   {sent: 15000, other: true},
		"by a process that started since":  {sent: 15000, later: true},
		"by a box that was paused since":   {sent: 15000, troubles: []history.Trouble{paused(11000, 11500)}},
		"by a box that was paused before":  {sent: 15000, troubles: []history.Trouble{paused(9000, 9500)}, broken: true},
		"by a box without the store":       {sent: 15000, troubles: []history.Trouble{trouble(history.OnStoreLink, "a", 11000, 14000)}, broken: true},
		"by a box that was otherwise hurt": {sent: 15000, troubles: []history.Trouble{trouble(history.OnBox, "a", 11000, 14000)}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := history.History{Troubles: c.troubles}
			h.Requests = append(h.Requests, asked("q1", func(q *history.Request) {
				q.Sent, q.Done, q.Whole = ms(9995), ms(10005), !c.unpassed
			}), asked("q2", func(q *history.Request) {
				q.Sent, q.Done, q.Whole = ms(c.sent), ms(c.sent+10), true
				if c.other {
					q.Box = "b"
				}
				if c.later {
					q.Life++
				}
			}))
			h.Arrivals = append(h.Arrivals,
				came("q1", func(a *history.Arrival) { a.At, a.Leaving = ms(10000), true }),
				came("q2", func(a *history.Arrival) { a.At = ms(c.sent + 5) }))
			if c.broken {
				require.Len(t, Leaves(on(h)), 1)
			} else {
				require.Empty(t, Leaves(on(h)))
			}
		})
	}
}

// paused is a pause of box a.
func paused(from, to int) history.Trouble {
	d := trouble(history.OnBox, "a", from, to)
	d.Kind = boxPause
	return d
}

// TestHoldsOff: a server turns a request away at 10 s and asks for 3 s; more requests come, some of which it turns
// away as well.
func TestHoldsOff(t *testing.T) {
	for name, c := range map[string]struct {
		// came is when further requests came, in ms.
		came []int
		// again has the server ask again with each, and other has them come by another process.
		again, other bool
		troubles     []history.Trouble
		broken       bool
	}{
		"at once":                        {came: []int{10010, 10100, 10200, 10900}},
		"two":                            {came: []int{11100, 12900}},
		"three":                          {came: []int{11100, 11200, 12900}, broken: true},
		"three, the last after it":       {came: []int{11100, 11200, 13000}},
		"three, over two times":          {came: []int{11100, 12900, 13950}, again: true},
		"three, within a later time":     {came: []int{10900, 12000, 13000, 13800}, again: true, broken: true},
		"by a process that started then": {came: []int{11100, 11200, 12900}, other: true},
		"by a box that was hurt":         {came: []int{11100, 11200, 12900}, troubles: []history.Trouble{trouble(history.OnBox, "a", 10100, 10200)}},
		"over a link that was hurt":      {came: []int{11100, 11200, 12900}, troubles: []history.Trouble{trouble(history.OnServer, "s", 10100, 10200)}},
		"by a box without the store":     {came: []int{11100, 11200, 12900}, troubles: []history.Trouble{trouble(history.OnStoreLink, "a", 10100, 10200)}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := history.History{Troubles: c.troubles}
			for n, at := range append([]int{10000}, c.came...) {
				id := fmt.Sprintf("q%d", n)
				h.Requests = append(h.Requests, asked(id, func(q *history.Request) {
					if c.other && n > 0 {
						q.Life++
					}
				}))
				h.Arrivals = append(h.Arrivals, came(id, func(a *history.Arrival) {
					a.At = ms(at)
					if n == 0 || c.again {
						a.HoldOff = 3 * time.Second
					}
				}))
			}
			if c.broken {
				require.Len(t, HoldsOff(on(h)), 1)
			} else {
				require.Empty(t, HoldsOff(on(h)))
			}
		})
	}
}
