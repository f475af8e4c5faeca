package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// Drain finds requests that reach a server too late after the store has taken that
// it leaves, by way of boxes in touch.
func Drain(c *Case) []Violation {
	left := make(map[string]time.Duration)
	for _, l := range c.Leavings {
		left[l.Server] = l.Acked
	}
	var all []Violation
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		acked, leaving := left[a.Server]
		if leaving && a.At > acked+c.bounds.Drain+c.bounds.Slack && c.inTouch(a, acked) {
			all = append(all, found("draining", a.At, "%s reaches %s %v after its leaving was taken", a.ID, a.Server, a.At-acked))
		}
	}
	return all
}

// inTouch reports whether all that an arrival came by was in touch since a time. A request that is held up
// between its box and the server is not late.
func (c *Case) inTouch(a *history.Arrival, since time.Duration) bool {
	q := c.requests[a.ID]
	return q != nil && c.touch.Box(q.Box, min(since, q.Sent), a.At) && c.touch.Server(a.Server, a.At, a.At) &&
		c.touch.Paths(q.Box, a.At, a.At)
}
