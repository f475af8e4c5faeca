package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// Remembers finds requests that a process sends to a server after it must have learnt that the server leaves, whatever
// the store does since: it may come back from a copy in which the server stays.
func Remembers(c *Case) []Violation {
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
		known := acked + c.bounds.Drain + c.bounds.Slack
		if a.At > known && c.hasLearnt(q, acked, known) && c.touch.Alone(q.Box, acked, a.At) &&
			c.touch.Server(a.Server, a.At, a.At) && c.touch.Paths(q.Box, a.At, a.At) {
			all = append(all, found("remembers", a.At, "%s reaches %s from %s, which has known for %v that it leaves", a.ID, a.Server, q.Box, a.At-known))
		}
	}
	return all
}

// hasLearnt reports whether the process that took a request must have learnt of a change that was taken at a time.
func (c *Case) hasLearnt(q *history.Request, acked, known time.Duration) bool {
	for i := range c.Lives {
		if l := &c.Lives[i]; l.Box == q.Box && l.Number == q.Life {
			return l.From <= acked && c.touch.Box(q.Box, acked, known)
		}
	}
	return false
}
