// Package runerr has the errors of a request that no backend server answered. They
// tell apart whether the request may have run, which decides what the caller may
// be told and whether it may be sent again.
package runerr

import "time"

// NotRun is a request that no backend server ran.
type NotRun struct {
	// RetryAfter is when the caller is to come back.
	RetryAfter time.Duration
	// Cause is why no server took it.
	Cause error
}

// Error says why.
func (e *NotRun) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRun) Unwrap() error { return e.Cause }

// PerhapsRun is a request without an answer that a backend server may have run.
type PerhapsRun struct {
	// Cause is why there is no answer.
	Cause error
}

// Error says why there is no answer.
func (e *PerhapsRun) Error() string { return "perhaps run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PerhapsRun) Unwrap() error { return e.Cause }
