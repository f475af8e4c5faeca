package front

import (
	"net/http"
	"time"
)

const (
	// timePerToken is the time per output token that a draining box allows for: a healthy engine
	// takes 8 to 10 ms, a busy one half as much again.
	timePerToken = 13 * time.Millisecond
	// drainRetryAfter is the retry delay for callers of a draining box: another box accepts the
	// request at once.
	drainRetryAfter = 5 * time.Millisecond
)

// checkDrain refuses a request that a draining box is not expected to finish in time. Another box
// can. A request that arrives once callers have had time to go elsewhere must end in time for
// certain.
func (x *exchange) checkDrain() bool {
	left, stops := x.server.timeLeft()
	if !stops {
		return true
	}
	takes := x.expectedDuration()
	if x.server.balancerNoticed() {
		takes = x.maxDuration()
	}
	if takes <= left {
		return true
	}
	x.refuse(stoppingRefusal())
	return false
}

// stoppingRefusal is the refusal of a request by a draining box.
func stoppingRefusal() refusal {
	return refusal{
		status: http.StatusServiceUnavailable, class: boxStopping,
		reason: errStopping.Error(), retryAfter: drainRetryAfter,
	}
}

// maxDuration returns the longest duration of the answer. Engines may be slower than expected or queue
// the request, and hints of a generation's length are often far off.
func (x *exchange) maxDuration() time.Duration { return x.deadline().Sub(x.req.Arrived) }

// expectedDuration returns the expected duration of the answer.
func (x *exchange) expectedDuration() time.Duration {
	if !x.route.Stream {
		return x.maxDuration()
	}
	tokens := x.req.HintTokens
	if tokens == 0 {
		tokens = x.req.MaxTokens
	}
	return x.route.Objective + time.Duration(tokens)*timePerToken
}

// deadline returns when the caller must have its answer: the earlier of its own deadline and the
// route's.
func (x *exchange) deadline() time.Time {
	wait := x.req.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if t := x.route.Timeout; t > 0 {
		wait = min(wait, t)
	}
	return x.req.Arrived.Add(wait)
}
