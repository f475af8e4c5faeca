package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// Wakes finds requests that a box sends after a pause to servers whose leaving was taken so long before its
// end that they must get no more. What reaches them later was sent later: nothing holds it up between.
func Wakes(c *Case) []Violation {
	left := make(map[string]time.Duration)
	for _, l := range c.Leavings {
		left[l.Server] = l.Acked
	}
	var all []Violation
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q, acked := c.requests[a.ID], left[a.Server]
		if q == nil || acked == 0 {
			continue
		}
		for _, t := range c.Troubles {
			if slept(&t, q.Box) && t.To >= acked+c.bounds.Drain && a.At > t.To && c.awake(a, q, &t) {
				all = append(all, found("after a pause", a.At, "%s reaches %s %v after the pause of %s, %v after its leaving was taken",
					a.ID, a.Server, a.At-t.To, q.Box, a.At-acked))
			}
		}
	}
	return all
}

// slept reports whether a trouble is a pause of a box.
func slept(t *history.Trouble, box string) bool {
	return t.Target == box && (t.Kind == schedule.BoxPause || t.Kind == schedule.BoxesSleep)
}

// awake reports whether all that a request came by was left alone since the begin of a pause, but for pauses.
func (c *Case) awake(a *history.Arrival, q *history.Request, t *history.Trouble) bool {
	return c.touch.Box(q.Box, t.From, a.At, schedule.BoxPause, schedule.BoxesSleep) &&
		c.touch.Server(a.Server, a.At, a.At) && c.touch.Paths(q.Box, a.At, a.At)
}
