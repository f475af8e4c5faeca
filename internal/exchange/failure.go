package exchange

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// Stage tells how far a request got before its exchange failed.
type Stage uint8

// Stages of a failed exchange.
const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent Stage = iota + 1
	// NoConnection means that the server's connection limit was reached. Nothing was sent.
	NoConnection
	// Unanswered means that bytes of the request were sent and no complete head of an answer
	// arrived. The server may have run the request.
	Unanswered
	// InvalidAnswer means that the server sent only answers to other requests, or bytes that are no
	// valid answer. The server may have run the request.
	InvalidAnswer
	// Truncated means that the head of the answer arrived but its body did not end properly.
	Truncated
	// Withheld means that BeforeSend kept the request back after a connection was available.
	Withheld
)

// Unsent reports whether nothing of the request was sent.
func (s Stage) Unsent() bool { return s == NotSent || s == NoConnection || s == Withheld }

func (s Stage) String() string {
	switch s {
	case NotSent:
		return "not sent"
	case NoConnection:
		return "no connection allowed"
	case Unanswered:
		return "unanswered"
	case InvalidAnswer:
		return "foreign answer"
	case Truncated:
		return "torn answer"
	case Withheld:
		return "withheld"
	default:
		return fmt.Sprintf("stage %d", uint8(s))
	}
}

// Failure is an exchange that failed.
type Failure struct {
	stage Stage
	addr  string
	cause error
	reset bool
}

func newFailure(stage Stage, addr string, cause error) *Failure {
	reset := errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
	return &Failure{stage: stage, addr: addr, cause: cause, reset: reset}
}

func (f *Failure) Error() string {
	return fmt.Sprintf("exchange with %s: %s: %v", f.addr, f.stage, f.cause)
}

// Unwrap returns the cause: the error of the context if that ended the exchange.
func (f *Failure) Unwrap() error { return f.cause }

// Stage returns how far the request got.
func (f *Failure) Stage() Stage { return f.stage }

// Reset reports whether the server reset an established connection. A refused dial
// is not a reset.
func (f *Failure) Reset() bool { return f.reset }

// ConnectionLost reports whether the server's end of the connection went away while the server had
// the request: it was closed, reset, or unresponsive at the TCP level. The server may have ended.
// It is false if the caller gave up or the server sent an invalid answer.
func (f *Failure) ConnectionLost() bool {
	if f.stage != Unanswered && f.stage != Truncated {
		return false
	}
	return f.reset || errors.Is(f.cause, io.EOF) || errors.Is(f.cause, io.ErrUnexpectedEOF) ||
		errors.Is(f.cause, syscall.ETIMEDOUT)
}

// ErrDialTimeout is the cause of a dial that took longer than the client's DialTimeout.
var ErrDialTimeout = errors.New("dial timed out")

// ErrNoPath means that no connection was opened for lack of a path to the server, as far as is known:
// no other box has found that it accepts none.
var ErrNoPath = errors.New("no path to the server")

// Causes of a Failure that do not come from the operating system.
var (
	errNoConnection = errors.New("connection limit reached")

	errHeadTooLarge  = errors.New("answer head exceeds the size limit")
	errSurplusLimit  = errors.New("too many surplus answers")
	errSurplusSize   = errors.New("surplus answer exceeds the size limit")
	errUnknownLength = errors.New("length of a surplus answer is unknown")
	errBodyClosed    = errors.New("read on a closed body")
)

// malformedError names the part of an answer that violates the protocol.
type malformedError struct{ what string }

func (e *malformedError) Error() string { return "malformed answer: " + e.what }

// invalidRequestError names the part of a request that cannot be written safely.
type invalidRequestError struct{ what string }

func (e *invalidRequestError) Error() string { return "invalid request: " + e.what }
