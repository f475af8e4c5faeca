package engineclient

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/dialer"
)

// CallError is a call to an engine that failed.
type CallError struct {
	server     string
	sent       bool
	refused    bool
	status     int
	retryAfter time.Duration
	err        error
}

// Error says which backend server failed and how.
func (e *CallError) Error() string {
	if e.status != 0 {
		return fmt.Sprintf("backend server %s: status %d: %v", e.server, e.status, e.err)
	}
	return fmt.Sprintf("backend server %s: %v", e.server, e.err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.err }

// Sent reports whether a byte of the request can have reached the engine.
func (e *CallError) Sent() bool { return e.sent }

// Refused reports whether the engine itself said that it did not run the request.
func (e *CallError) Refused() bool { return e.refused }

// Status returns the engine's status, or 0 when no answer came.
func (e *CallError) Status() int { return e.status }

// RetryAfter returns the wait that the engine asked for, or 0.
func (e *CallError) RetryAfter() time.Duration { return e.retryAfter }

// sendError tells a failed dial from a failure after sending.
func sendError(server string, err error) *CallError {
	var dial *dialer.Error
	unsent := errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
	return &CallError{server: server, sent: !unsent, err: err}
}

// statusError is an answer that is not a success. Any status that an engine
// states before the first token means that it did not start the generation.
func statusError(server string, resp *fasthttp.Response, body []byte) *CallError {
	status := resp.StatusCode()
	e := &CallError{
		server:     server,
		sent:       true,
		refused:    status >= fasthttp.StatusBadRequest && status != fasthttp.StatusInternalServerError,
		status:     status,
		retryAfter: retryAfter(resp),
	}
	e.describe(body)
	return e
}

// describe makes the beginning of an answer's body the cause.
func (e *CallError) describe(body []byte) {
	const keep = 200
	e.err = errors.New(string(body[:min(len(body), keep)]))
}
