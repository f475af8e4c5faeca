package front

import (
	"encoding/json"
	"strconv"
	"time"
)

// refusal is an answer of this box itself.
type refusal struct {
	status int
	// class is the metric label of the reason; reason is the text for the caller.
	class  class
	reason string
	// retryAfter is the retry delay, 0 for none.
	retryAfter time.Duration
	// fingerprint identifies the request if servers ended while running it, otherwise it is empty.
	fingerprint string
}

// class is the metric label of a kind of refusal.
type class string

const (
	badRequest   class = "bad-request"
	noConfig     class = "no-configuration"
	unknownRoute class = "unknown-route"
	unknownKey   class = "unknown-key"
	bodyTooLarge class = "body-too-large"
	bodyMissing  class = "body-missing"
	callerSlow   class = "caller-slow"
	// headsTooLarge is a request whose head does not fit beside those of others.
	headsTooLarge class = "heads-too-large"
	boxStopping   class = "box-stopping"
	notTaken      class = "not-taken"
	quarantined   class = "quarantined"
	limited       class = "limited"
	unwanted      class = "unwanted"
)

// problem is the body of an answer of this box itself.
type problem struct {
	Error string `json:"error"`
}

// refuse answers a request that has not run.
func (x *exchange) refuse(r refusal) {
	x.logRefused(r)
	x.writeRefusal(r)
}

// writeRefusal writes an answer of this box itself, with Retry-After if there is a retry delay.
func (x *exchange) writeRefusal(r refusal) {
	h := x.w.Header()
	x.server.Codec.Identify(h, x.req.ID)
	h.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(problem{Error: r.reason})
	if err != nil {
		x.server.Logger.Error("error response could not be encoded", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.begun = true
	x.writeHead(r.status)
	if _, err := x.w.Write(body); err != nil {
		x.recordAborted(0)
	}
}

// writeHead writes the head of the answer. While the server drains, the answer closes its connection.
func (x *exchange) writeHead(status int) {
	if _, stops := x.server.timeLeft(); stops {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}
