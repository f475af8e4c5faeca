// Package health tracks the health of a backend server from the results of its calls.
//
// Consecutive failures eject the server for a time that doubles up to a maximum; if
// the first call after that fails, it is ejected again. A new or recovered server
// starts with a reduced share of work. The package does not limit how many servers are
// ejected at once: that is up to the caller.
package health

import "time"

const (
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	slowStart       = 5 * time.Second
	slowStartFloor  = 0.25
)

// Health is the state of one server. The zero value is a healthy server past its slow
// start. It is not safe for concurrent use.
type Health struct {
	failures int
	ejection time.Duration
	until    time.Time
	since    time.Time
}

// New returns the state of a server first seen at since, which begins a slow start.
func New(since time.Time) *Health { return &Health{since: since} }

// Succeed records a successful call and reports whether this ends an ejection.
func (h *Health) Succeed(now time.Time) (back bool) {
	back = h.ejection > 0
	h.failures = 0
	h.ejection = 0
	if back {
		h.since = now
		h.until = time.Time{}
	}
	return back
}

// Fail records a failed call and reports whether it ejects the server.
func (h *Health) Fail(now time.Time) (out bool) {
	h.failures++
	if h.failures < failuresToEject || now.Before(h.until) {
		return false
	}
	h.ejection = min(max(2*h.ejection, firstEjection), longestEjection)
	h.until = now.Add(h.ejection)
	return true
}

// Out reports whether the server is ejected at now.
func (h *Health) Out(now time.Time) bool { return now.Before(h.until) }

// Share returns the fraction of its capacity that the server may use at now, 0 to 1.
func (h *Health) Share(now time.Time) float64 {
	age := now.Sub(h.since)
	if h.since.IsZero() || age >= slowStart {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(age)/float64(slowStart)
}
