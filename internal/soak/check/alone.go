package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// overlapBound is how long an engine may go on with a generation that has begun at another one.
const overlapBound = 400 * time.Millisecond

// Alone finds generations that an engine still works on too long after another engine has gone on with them,
// by way of boxes in touch that reach it.
func Alone(c *Case) []Violation {
	byID := make(map[string][]*history.Work)
	for i := range c.Works {
		w := &c.Works[i]
		byID[w.ID] = append(byID[w.ID], w)
	}
	var all []Violation
	for i := range c.Works {
		next := &c.Works[i]
		if !next.Continued {
			continue
		}
		for _, before := range byID[next.ID] {
			late := before.To - next.From
			if before.Server != next.Server && before.From < next.From && late > overlapBound+c.bounds.Slack && c.reaches(before, next) {
				all = append(all, found("one engine", next.From, "%s goes on at %s, and %s works on it for %v more",
					next.ID, next.Server, before.Server, late))
			}
		}
	}
	return all
}

// reaches reports whether the box of a generation could stop its engine before once another had begun.
func (c *Case) reaches(before, next *history.Work) bool {
	q := c.requests[next.ID]
	to := next.From + overlapBound
	return q != nil && c.touch.Box(q.Box, next.From, to) && c.touch.Paths(q.Box, next.From, to) &&
		c.touch.Server(before.Server, next.From, to)
}
