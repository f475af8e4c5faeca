package check

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// Leaves finds requests that callers sent to a box later than the bound of draining after it had passed on an answer
// in which a server says that it leaves, and that reach that server. A pause of the box since then excuses it, as does
// another process; that it is out of touch does not.
func Leaves(c *Case) []Violation {
	told := c.toldLeaving()
	var all []Violation
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if q == nil {
			continue
		}
		at, knows := told[wordOf{life{q.Box, q.Life}, a.Server}]
		if knows && q.Sent > at+c.bounds.Drain && c.unpaused(q.Box, at, a.At) {
			all = append(all, found("leaving", a.At, "%s, sent %v after %s had passed on that %s leaves, reaches it",
				a.ID, q.Sent-at, q.Box, a.Server))
		}
	}
	return all
}

// wordOf is what a process was told by a server.
type wordOf struct {
	life   life
	server string
}

// toldLeaving returns when each process had first passed on an answer of each server that says that it leaves.
func (c *Case) toldLeaving() map[wordOf]time.Duration {
	told := make(map[wordOf]time.Duration)
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if !a.Leaving || q == nil || !q.Answered() || q.Proof != a.Proof || a.Proof == "" {
			continue
		}
		w := wordOf{life{q.Box, q.Life}, a.Server}
		if at, known := told[w]; !known || q.Done < at {
			told[w] = q.Done
		}
	}
	return told
}

const (
	// holdOffNews is how long after a server has asked it to hold off a box may still send, and holdOffMost how many
	// requests may reach the server from then on to the end of the time.
	holdOffNews = 500 * time.Millisecond
	holdOffMost = 2
)

// HoldsOff finds times for which a server had asked a box to hold off and got more requests from it than it bears,
// whatever became of them. That the box, the links to the server or the soak were disturbed excuses it.
func HoldsOff(c *Case) []Violation {
	came := make(map[wordOf][]*history.Arrival)
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if q := c.requests[a.ID]; q != nil {
			w := wordOf{life{q.Box, q.Life}, a.Server}
			came[w] = append(came[w], a)
		}
	}
	var all []Violation
	for w, arrivals := range came {
		if v, broken := c.tooMany(w, arrivals); broken {
			all = append(all, v)
		}
	}
	return all
}

// tooMany returns the first time of one server with more requests from one process than it bears.
func (c *Case) tooMany(w wordOf, arrivals []*history.Arrival) (Violation, bool) {
	for _, asked := range arrivals {
		if asked.HoldOff == 0 {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if a.At <= asked.At+holdOffNews+c.bounds.Slack || a.At >= asked.At+asked.HoldOff {
				continue
			}
			if n++; n > holdOffMost && c.heard(w, asked.At, a.At) {
				return found("hold off", a.At, "%s got %d requests from %s within %v for which it had asked that to hold off",
					w.server, n, w.life.box, asked.HoldOff), true
			}
		}
	}
	return Violation{}, false
}

// heard reports whether nothing kept a process from hearing a server and from acting on that.
func (c *Case) heard(w wordOf, from, to time.Duration) bool {
	return c.touch.Alone(w.life.box, from, to) && c.touch.Server(w.server, from, to)
}

// unpaused reports whether a box ran all the time.
func (c *Case) unpaused(box string, from, to time.Duration) bool {
	for _, d := range c.Troubles {
		stopped := d.Scope == history.OnAll || d.Scope == history.OnBox && d.Target == box && d.Kind == boxPause
		if stopped && d.From <= to && d.To >= from {
			return false
		}
	}
	return true
}

// boxPause is the kind of trouble by which a box does not run; see package schedule.
const boxPause history.Kind = "box-pause"
