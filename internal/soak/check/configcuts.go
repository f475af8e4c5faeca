package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// configEnd is how long after it must be in force a configuration counts as planned work.
	configEnd = time.Second
	// configTimes is how many times as often as at other times a box may cut requests next to one.
	configTimes = 3
	// usedParts of all timeParts of a request's time make it one that is not counted.
	usedParts = 7
	timeParts = 10
)

// configCuts counts the requests of one box, and those of them that it cut, next to configurations and
// at other times.
type configCuts struct {
	near, other       int
	nearCut, otherCut int
	found             []Violation
}

// countCut counts a request of a box that was left alone, at a time at which all servers were: a stream may also
// be cut by an engine that it was to go on at.
func (c *Case) countCut(of map[string]*configCuts, q *history.Request, cut bool) {
	if _, stopped := c.stopOf(q); stopped || c.hungUp(q) || !cut && !c.boxAlone(q) || !c.touch.Servers(q.Sent, q.Done) {
		return
	}
	n := of[q.Box]
	if n == nil {
		n = &configCuts{}
		of[q.Box] = n
	}
	if !c.nearConfig(q.Done) {
		n.other++
		if cut {
			n.otherCut++
		}
		return
	}
	n.near++
	if !cut || q.Timeout > 0 && (q.Done-q.Sent)*timeParts >= q.Timeout*usedParts {
		return
	}
	n.nearCut++
	n.found = append(n.found, cutViolation("planned configuration", q))
}

// nearConfig reports whether a configuration is sent, or may still be applied, at a time.
func (c *Case) nearConfig(at time.Duration) bool {
	for i := range c.Versions {
		if v := &c.Versions[i]; at >= v.Sent && at <= v.Acked+c.bounds.Apply+configEnd {
			return true
		}
	}
	return false
}

// violations returns what was found if the box cut requests so much more often next to configurations.
func (n *configCuts) violations() []Violation {
	if n.nearCut*n.other <= configTimes*n.otherCut*n.near {
		return nil
	}
	return n.found
}
