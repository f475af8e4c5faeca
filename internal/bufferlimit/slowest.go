package bufferlimit

import "time"

// Bound names the bound that a connection was dropped for.
type Bound string

// Values of Bound. BoundStalled is no sum but the time without progress.
const (
	BoundConnection Bound = "connection"
	BoundAccount    Bound = "account"
	BoundBox        Bound = "box"
	BoundServers    Bound = "servers"
	BoundStalled    Bound = "stalled"
)

// SlowCallerError is the error of a connection that was dropped for a slow caller.
type SlowCallerError struct {
	// Bound is the bound it was dropped for.
	Bound Bound
	// Bytes is what was buffered for it; Idle is the time without progress, 0 if the box did not
	// wait for the caller.
	Bytes int64
	Idle  time.Duration
}

// Error returns a message with the bound.
func (e *SlowCallerError) Error() string { return "the caller is too slow: bound " + string(e.Bound) }

// waitingCaller is a connection whose caller the box waits for.
type waitingCaller struct {
	bytes int64
	idle  time.Duration
}

// slowest returns the index of the caller to drop: the one longest without progress, then the one
// with most buffered bytes. It is -1 if none is slow.
func slowest(callers []waitingCaller) int {
	at := -1
	for i, r := range callers {
		if r.idle < slowAfter || r.bytes == 0 {
			continue
		}
		if at < 0 || r.slower(callers[at]) {
			at = i
		}
	}
	return at
}

// slower reports whether a caller is dropped before another one.
func (r waitingCaller) slower(than waitingCaller) bool {
	if r.idle != than.idle {
		return r.idle > than.idle
	}
	return r.bytes > than.bytes
}
