package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestDeadly: a request may come to servers three times once three have ended and boxes must know.
func TestDeadly(t *testing.T) {
	const third = 12000
	for name, c := range map[string]struct {
		// ends and sent are times in ms; other is set if what was sent is another request.
		ends, sent []int
		troubles   []history.Trouble
		other      bool
		broken     bool
	}{
		"three times later":        {ends: []int{10000, 11000, third}, sent: []int{16000, 17000, 18000}},
		"four times":               {ends: []int{10000, 11000, third}, sent: []int{16000, 17000, 18000, 19000}, broken: true},
		"four, one of them soon":   {ends: []int{10000, 11000, third}, sent: []int{third + 3400, 17000, 18000, 19000}},
		"two ends":                 {ends: []int{10000, 11000}, sent: []int{16000, 17000, 18000, 19000}},
		"another request":          {ends: []int{10000, 11000, third}, sent: []int{16000, 17000, 18000, 19000}, other: true},
		"by a box out of touch":    {ends: []int{10000, 11000, third}, sent: []int{16000, 17000, 18000, 19000}, troubles: []history.Trouble{trouble(history.OnBox, "a", 14000, 16500)}},
		"before and after a touch": {ends: []int{10000, 11000, third}, sent: []int{20000, 20100, 20200, 20300}, troubles: []history.Trouble{trouble(history.OnBox, "a", 14000, 16500)}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := history.History{Troubles: c.troubles}
			add := func(at int, other bool) string {
				id := fmt.Sprintf("q%d", at)
				h.Requests = append(h.Requests, asked(id, func(q *history.Request) {
					if other {
						q.Body = "another"
					}
				}))
				h.Arrivals = append(h.Arrivals, came(id, func(a *history.Arrival) { a.At = ms(at) }))
				return id
			}
			for n, at := range c.ends {
				id := add(at, false)
				h.Ends = append(h.Ends, history.End{At: ms(at) + time.Millisecond, Server: fmt.Sprint("s", n), Request: id})
			}
			for _, at := range c.sent {
				add(at, c.other)
			}
			if c.broken {
				require.Len(t, Deadly(on(h)), 1)
			} else {
				require.Empty(t, Deadly(on(h)))
			}
		})
	}
}
