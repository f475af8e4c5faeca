package check

import (
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// isolatedShare is the least part, as a ratio to the others, of requests served at boxes that are
	// cut off from all servers: two thirds.
	isolatedShare = 2.0 / 3
	// isolatedLost is how many of their requests may fail whatever the ratio, and isolatedLostOf one in
	// so many of them besides.
	isolatedLost   = 10
	isolatedLostOf = 50
	// callPrefix begins the ids of callers that go where the balancer sends them.
	callPrefix = "call-"
)

// Isolated finds times in which boxes that are cut off from all servers, but left alone, serve their callers
// far worse than the others do, from the bound of contact after they were cut off. That the store is away is no
// excuse: a box does not need it to find a way.
func Isolated(c *Case) []Violation {
	var all []Violation
	for _, cut := range c.Troubles {
		if cut.Scope != history.OnServerPaths {
			continue
		}
		if v, broken := c.servedWorse(cut); broken {
			all = append(all, v)
		}
	}
	return all
}

// served counts requests.
type served struct{ well, all int }

func (s *served) add(q *history.Request) {
	s.all++
	if q.Served() {
		s.well++
	}
}

func (s *served) lost() int { return s.all - s.well }

// servedWorse compares what a box that is cut off serves with what those serve that are not.
func (c *Case) servedWorse(cut history.Trouble) (Violation, bool) {
	from := cut.From + c.bounds.Contact + c.bounds.Slack
	var own, others served
	for i := range c.Requests {
		q := &c.Requests[i]
		if !strings.HasPrefix(q.ID, callPrefix) || q.Sent < from || q.Done > cut.To || !c.touch.Alone(q.Box, q.Sent, q.Done) {
			continue
		}
		switch {
		case q.Box == cut.Target:
			own.add(q)
		case !c.isolated(q.Box, from, cut.To):
			others.add(q)
		}
	}
	most := isolatedLost + own.all/isolatedLostOf
	if others.all == 0 || own.lost() <= most || float64(own.well*others.all) >= isolatedShare*float64(others.well*own.all) {
		return Violation{}, false
	}
	return found("isolated boxes", cut.To, "%s, cut off from all servers since %v, served %d of %d requests, the others %d of %d",
		cut.Target, cut.From.Round(time.Millisecond), own.well, own.all, others.well, others.all), true
}

// isolated reports whether a box was cut off from all servers at some moment from one time to another.
func (c *Case) isolated(box string, from, to time.Duration) bool {
	for _, t := range c.Troubles {
		if t.Scope == history.OnServerPaths && t.Target == box && t.From <= to && t.To >= from {
			return true
		}
	}
	return false
}
