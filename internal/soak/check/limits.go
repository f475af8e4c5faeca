package check

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

const (
	// limitWindow is the time in which a server's requests are counted. It may get limitOver times what
	// its limit allows, and limitSlack.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// limitNews is how long after it has passed on an answer with a limit a box counts as told.
	limitNews = 500 * time.Millisecond
)

// Limits finds windows in which a server got more than the limit allows that it named, from boxes that
// it had told and that were left alone, counted from the bound of contact after it first named one.
func Limits(c *Case) []Violation {
	byServer := make(map[string][]history.Limit)
	for _, l := range c.Limits {
		byServer[l.Server] = append(byServer[l.Server], l)
	}
	var all []Violation
	for server, limits := range byServer {
		if v, broken := c.overLimit(server, limits); broken {
			all = append(all, v)
		}
	}
	return all
}

// overLimit returns the first window with more requests than a server's limits allow.
func (c *Case) overLimit(server string, limits []history.Limit) (Violation, bool) {
	came := c.fromTold(server, limits[0].From)
	counts := limits[0].From + c.bounds.Contact + c.bounds.Slack
	until := c.namedUntil(server, limits)
	for i, at := range came {
		if at < counts || at > until {
			continue
		}
		first, _ := slices.BinarySearch(came, at-limitWindow+1)
		most := limitOver*limitWindow.Seconds()*highest(limits, at-limitWindow-c.bounds.Slack, at) + limitSlack
		if got := i + 1 - first; float64(got) > most {
			return found("server limit", at, "%s got %d requests in %v from boxes that it had told; %.0f are allowed",
				server, got, limitWindow, most), true
		}
	}
	return Violation{}, false
}

// namedUntil returns until when a server named its limits: one that starts again names none any more.
func (c *Case) namedUntil(server string, limits []history.Limit) time.Duration {
	until := limits[len(limits)-1].To
	for _, t := range c.Troubles {
		if t.Kind == schedule.ServerRestarts && t.Target == server && t.From > limits[0].From {
			until = min(until, t.From)
		}
	}
	return until
}

// highest returns the highest of the limits in force at some moment from one time to another.
func highest(limits []history.Limit, from, to time.Duration) float64 {
	most := 0.0
	for _, l := range limits {
		if l.From <= to && l.To >= from {
			most = max(most, l.PerSecond)
		}
	}
	return most
}

// life is one process of a box.
type life struct {
	box    string
	number int
}

// fromTold returns when requests came to a server, from a time on, from processes that it had told of
// its limit and that were left alone since.
func (c *Case) fromTold(server string, from time.Duration) []time.Duration {
	told := c.told(server, from)
	var came []time.Duration
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if a.Server != server || q == nil {
			continue
		}
		at, knows := told[life{q.Box, q.Life}]
		if knows && a.At >= at+limitNews+c.bounds.Slack && c.touch.Alone(q.Box, at, a.At) {
			came = append(came, a.At)
		}
	}
	slices.Sort(came)
	return came
}

// told returns when each process had first passed on an answer of a server that named a limit.
func (c *Case) told(server string, from time.Duration) map[life]time.Duration {
	told := make(map[life]time.Duration)
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if a.Server != server || !a.Limited || a.At < from || q == nil || !q.Answered() || q.Proof != a.Proof {
			continue
		}
		l := life{q.Box, q.Life}
		if at, known := told[l]; !known || q.Done < at {
			told[l] = q.Done
		}
	}
	return told
}
