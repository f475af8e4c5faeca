package check

import "time"

const (
	// leastServed is the part of requests that must be served after recovery, as
	// one in so many.
	leastServed = 4
	// lastLook is the end of a run that tells whether requests are served again.
	lastLook = time.Second
)

// Recovers finds runs in which requests are not served again after the faults: in
// the time after the bound or, if the run ended before it, in its last second.
func Recovers(c *Case) []Violation {
	from := min(c.Phase.Calm+c.bounds.Recovery, c.Phase.End-lastLook)
	served, all := 0, 0
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Sent < from || q.Done > c.Phase.End {
			continue
		}
		all++
		if q.Served() {
			served++
		}
	}
	if served*leastServed >= all && all > 0 {
		return nil
	}
	return []Violation{found("recovery", c.Phase.End, "%d of %d requests are served %v after the last fault", served, all, from-c.Phase.Calm)}
}
