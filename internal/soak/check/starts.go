package check

import "time"

// Starts finds generations that are to go on with what an earlier start of a server held,
// although all boxes were in touch and must know of the new start.
func Starts(c *Case) []Violation {
	var all []Violation
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if !a.Lost {
			continue
		}
		for _, again := range c.Restarts {
			known := again.Acked + c.bounds.Known + c.bounds.Slack
			if again.Server == a.Server && a.At > known && c.allInTouch(again.Acked, a.At) {
				all = append(all, found("new starts", a.At, "%s is to go on at %s, which started again %v before",
					a.ID, a.Server, a.At-again.Acked))
				break
			}
		}
	}
	return all
}

// allInTouch reports whether all boxes were in touch: a box learns of a new start from others.
func (c *Case) allInTouch(from, to time.Duration) bool {
	for i := range c.Lives {
		if !c.touch.Box(c.Lives[i].Box, from, to) {
			return false
		}
	}
	return true
}
