// Package backend describes requests to backend servers and the meaning of their answers,
// independent of the wire format.
package backend

import (
	"errors"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/request"
)

// Reasons why an engine did not copy a generation's memory.
var (
	// ErrNotRunning means that the engine does not run the generation, or not yet.
	ErrNotRunning = errors.New("the engine does not run the generation")
	// ErrNoCapacity means that the target has no free memory or is unreachable.
	ErrNoCapacity = errors.New("no room at the target, or no way there")
)

// SendOptions are the parameters of sending a request to a backend server.
type SendOptions struct {
	// Server is the destination; another server instance at its address must not run the request.
	Server *registry.Server
	// Account is the caller's client account, if any.
	Account string
	// Timeout is the time that the server has for the request.
	Timeout time.Duration
	// Priority is the rank at an engine, 0 being the most urgent; below 0 is none.
	Priority int
	// Backup is the address of the engine that gets a copy of the growing memory, if any.
	Backup string
	// Resume is set when the request resumes from a copy of its memory.
	Resume *ResumePoint
}

// ResumePoint identifies a copy of a running generation's memory.
type ResumePoint struct {
	// Holder is the address of the engine that named the copy.
	Holder string
	// Copy is the name of the copy there.
	Copy string
	// LastEvent is the id of the last event that the caller has, if any.
	LastEvent string
}

// EngineStatus is the status that an engine reports when polled.
type EngineStatus struct {
	// Born is the start time of the instance that answered, as in registry.Server; 0 if not
	// reported.
	Born int64
	// Leaving is set when the engine is about to end at a known time.
	Leaving bool
	// LeavesIn is the time until then.
	LeavesIn time.Duration
}

// Codec encodes requests to backend servers and interprets their answers.
type Codec interface {
	// RequestHeader returns the headers for the server.
	RequestHeader(r *request.Request, s *SendOptions) http.Header
	// AnswerMatcher returns a function that reports whether an answer's headers belong to the
	// request.
	AnswerMatcher(r *request.Request) func(http.Header) bool
	// NotRun reports whether the answer states that the request has not run.
	NotRun(status int, h http.Header) bool
	// Misdirected reports whether the answer states that another server has the address.
	Misdirected(status int) bool
	// Authentic reports whether a success carries the server's proof that the answer is its own.
	Authentic(h http.Header) bool
	// Condition returns the condition that the server states in the answer.
	Condition(status int, h http.Header) Condition
	// CallerHeader returns the headers for the caller.
	CallerHeader(h http.Header) http.Header
}
