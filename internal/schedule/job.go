package schedule

import (
	"time"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/route"
)

// Job is a generation that needs an engine.
type Job struct {
	// Request is the id of the request.
	Request string
	// Model is the requested name, with an adapter after a colon.
	Model string
	// Kind separates chat from completion in the forecast.
	Kind string
	// Account is the client account of the caller.
	Account *fleet.ClientAccount
	Prompt  string
	// MaxTokens limits the length of the answer; 0 is no limit.
	MaxTokens int
	// Avoid is the backend server that just failed the request, if any.
	Avoid string
}

// waiter is a job in the queue.
type waiter struct {
	job      *Job
	key      outputlength.Key
	request  route.Request
	deadline time.Time
	expected float64
	result   chan result
	decided  bool
}

// result is the outcome sent to a waiter.
type result struct {
	placement *Placement
	refusal   *Refusal
}

// decide sends the result. It is called once.
func (w *waiter) decide(r result) {
	w.decided = true
	w.result <- r
}

func (w *waiter) stream(curve *outputlength.SurvivalCurve, promptTokens, knownLength int) *occupancy.Stream {
	return occupancy.NewStream(occupancy.StreamConfig{
		Curve:        curve,
		PromptTokens: promptTokens,
		MaxTokens:    w.job.MaxTokens,
		Priority:     w.job.Account.Priority(),
		KnownLength:  knownLength,
	})
}
