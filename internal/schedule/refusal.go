package schedule

import (
	"fmt"
	"time"
)

// Reason is why a job was refused.
type Reason string

// Reasons of a refusal. In none of them has anything run.
const (
	QueueFull    Reason = "queue is full"
	WaitTooLong  Reason = "no engine will be free in time"
	NoEngine     Reason = "no engine of the model is in use"
	UnknownModel Reason = "model is not in the configuration"
	CallerGone   Reason = "caller went away"
	Stopping     Reason = "box is stopping"
)

// Refusal is the error for a job that got no engine.
type Refusal struct {
	reason     Reason
	retryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.retryAfter > 0 {
		return fmt.Sprintf("%s; try again in %s", r.reason, r.retryAfter.Round(time.Millisecond))
	}
	return string(r.reason)
}

// Reason returns why the job was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns when the caller should retry, or 0.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }
