// Package panics keeps a panic in the work for one request from ending the process, which serves many
// requests.
//
// It is the counterpart of the recovery that net/http has around a handler, for the goroutines that a
// handler starts. Work on state that all requests share is not run under Catch: after a panic that
// state may be wrong, and the process has to end.
package panics

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/telemetry"
)

// Work names what a goroutine does, in the log and as a metric label.
type Work string

// The work that is done under Catch.
const (
	// Handling is a caller's request, in the goroutine of its connection.
	Handling Work = "handling"
	// Attempt is one of several attempts of a request.
	Attempt Work = "attempt"
	// Stream is a generation on its way to its caller.
	Stream Work = "stream"
	// Switch is the switch of a stalled stream to another engine.
	Switch Work = "switch"
	// Move is the migration of generations off an engine.
	Move Work = "move"
	// Release is the release of a copy of a generation.
	Release Work = "release"
	// Poll is a question to an engine about its state.
	Poll Work = "poll"
	// Dial is the dial of a server, directly or through a peer.
	Dial Work = "dial"
	// Tunnel is a connection to a server for a peer.
	Tunnel Work = "tunnel"
)

// Error is a panic that was recovered. The work may have been done in part.
type Error struct {
	value any
	stack []byte
}

// Error returns the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Report logs the panic with its stack and counts it. metrics may be nil.
func (e *Error) Report(logger *slog.Logger, metrics *telemetry.Metrics, work Work, attrs ...slog.Attr) {
	metrics.OrDiscard().Panics.Inc(string(work))
	attrs = append(attrs,
		slog.String(event.KeyWork, string(work)), slog.String(event.KeyCause, e.Error()),
		slog.String(event.KeyStack, string(e.stack)))
	name := event.WorkPanicked
	logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

// Catch calls f and returns its panic, or nil.
func Catch(f func()) (err *Error) {
	defer func() {
		if value := recover(); value != nil {
			err = &Error{value: value, stack: debug.Stack()}
		}
	}()
	f()
	return nil
}
