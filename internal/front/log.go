package front

import (
	"context"
	"errors"
	"log/slog"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// Outcomes of requests in the metrics.
const (
	outcomeDone       = "done"
	outcomeFailed     = "failed"
	outcomeRefused    = "refused"
	outcomeGivenUp    = "given-up"
	outcomeBroken     = "broken"
	outcomeStopped    = "stopped"
	outcomeCallerLeft = "caller-left"
)

// failedStatus is the lowest status code that reports a failure of the backend server.
const failedStatus = 500

// kind returns the metric label for the kind of request.
func (x *exchange) kind() string {
	switch {
	case x.route == nil:
		return "unknown"
	case x.route.Stream:
		return "stream"
	default:
		return "whole"
	}
}

// logRefused logs a request that did not run.
func (x *exchange) logRefused(r refusal) {
	x.count(outcomeRefused)
	x.server.Metrics.OrDiscard().Refusals.Inc(string(r.class))
	attrs := []slog.Attr{
		slog.Int(event.KeyStatus, r.status), slog.String(event.KeyReason, r.reason),
		slog.Int64(event.KeyRetryAfter, r.retryAfter.Milliseconds()), slog.Bool(event.KeyNotRun, true),
	}
	if r.fingerprint != "" {
		attrs = append(attrs, slog.String(event.KeyFingerprint, r.fingerprint))
	}
	x.log(event.RequestRefused, x.withStaleness(attrs)...)
}

// logGivenUp logs an unanswered request that a server may have run.
func (x *exchange) logGivenUp(status int, cause error) {
	x.count(outcomeGivenUp)
	x.log(event.RequestGivenUp, x.withStaleness([]slog.Attr{
		slog.Int(event.KeyStatus, status), slog.String(event.KeyReason, cause.Error()),
	})...)
}

// withStaleness adds the age of the configuration and the revision and age of the server view.
func (x *exchange) withStaleness(attrs []slog.Attr) []slog.Attr {
	beliefs := x.server.Staleness
	return beliefs.AppendView(beliefs.AppendConfigAge(attrs))
}

// recordAnswered records a complete answer.
func (x *exchange) recordAnswered(status, events int) {
	outcome := outcomeDone
	if status >= failedStatus {
		outcome = outcomeFailed
	}
	x.count(outcome)
	x.server.Metrics.OrDiscard().Answer.Observe(x.server.Clock.Since(x.req.Arrived), x.kind())
	attrs := []slog.Attr{slog.Int(event.KeyStatus, status)}
	if events > 0 {
		attrs = append(attrs, slog.Int(event.KeyEvents, events))
	}
	x.log(event.RequestEnded, attrs...)
}

// recordBroken records an answer that ended early after a part of it was passed on.
func (x *exchange) recordBroken(err error, events int) {
	dropped := x.recordSlowCaller(err)
	if !dropped && (x.http.Context().Err() != nil || x.server.closing.Load()) {
		x.recordAborted(events)
		return
	}
	if dropped {
		x.conn.Drop(err)
	}
	x.count(outcomeBroken)
	x.log(event.RequestEnded, slog.Int(event.KeyEvents, events), slog.String(event.KeyCause, err.Error()))
}

// recordSlowCaller records that the caller was dropped for being slow, and reports whether it was.
// The usual line for the end of the request follows.
func (x *exchange) recordSlowCaller(err error) bool {
	var slow *bufferlimit.SlowCallerError
	if !errors.As(err, &slow) && !errors.As(x.conn.Buffers().Err(), &slow) {
		return false
	}
	x.server.Metrics.OrDiscard().SlowCallersDropped.Inc(string(slow.Bound))
	buffered, _ := x.server.Buffers.Buffered()
	x.log(event.CallerGaveWay,
		slog.String(event.KeyBound, string(slow.Bound)), slog.Int64(event.KeyBytes, slow.Bytes),
		slog.Int64(event.KeyIdle, slow.Idle.Milliseconds()), slog.Int64(event.KeyKept, buffered))
	return true
}

// recordAborted records a connection that ends before the answer, closed by the caller or by this
// box at the end of its drain time.
func (x *exchange) recordAborted(events int) {
	if x.server.closing.Load() {
		x.count(outcomeStopped)
		attrs := []slog.Attr{slog.Int(event.KeyEvents, events), slog.String(event.KeyCause, event.CauseStopped)}
		if stopped := x.server.stoppedAt.Load(); !stopped.IsZero() {
			attrs = append(attrs, slog.Int64(event.KeySinceStop, x.req.Arrived.Sub(stopped).Milliseconds()))
		}
		x.log(event.RequestEnded, attrs...)
		return
	}
	x.count(outcomeCallerLeft)
	x.server.Metrics.OrDiscard().CallersLeft.Inc(x.kind())
	x.log(event.CallerLeft, slog.Int(event.KeyEvents, events))
}

// firstEvent records the first event of a stream.
func (x *exchange) firstEvent() {
	x.server.Metrics.OrDiscard().FirstEvent.Observe(x.server.Clock.Since(x.req.Arrived), x.kind())
}

// count counts the outcome of a request, once.
func (x *exchange) count(outcome string) {
	if x.counted {
		return
	}
	x.counted = true
	x.server.Metrics.OrDiscard().Requests.Inc(x.kind(), outcome)
}

// log writes a decision log line about the request.
func (x *exchange) log(name event.Name, attrs ...slog.Attr) {
	attrs = append(attrs, x.requestAttrs()...)
	x.server.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

// requestAttrs returns the attributes of the request for a line about it.
func (x *exchange) requestAttrs() []slog.Attr {
	elapsed := x.server.Clock.Since(x.req.Arrived)
	attrs := []slog.Attr{slog.String(event.KeyRequest, x.req.ID), slog.Int64(event.KeyElapsed, elapsed.Milliseconds())}
	if x.route != nil {
		attrs = append(attrs, slog.String(event.KeyRoute, x.route.Name))
	}
	if x.account.Name != "" {
		attrs = append(attrs, slog.String(event.KeyAccount, x.account.Name))
	}
	if x.table != nil {
		attrs = append(attrs, slog.Int64(event.KeyConfigVersion, x.table.Version()))
	}
	return attrs
}
