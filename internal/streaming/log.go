package streaming

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/registry"
)

// sentAttrs is the maximum number of attributes in a line about a send.
const sentAttrs = 17

// log writes a decision log line about the generation.
func (x *run) log(name event.Name, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String(event.KeyRequest, x.job.Request.ID))
	x.relay.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

func (x *run) logSent(attempt int, c *picker.Candidate, backup backupChoice) {
	attrs := make([]slog.Attr, 0, sentAttrs)
	attrs = append(attrs,
		slog.String(event.KeyRoute, x.job.Route.Name),
		slog.String(event.KeyServer, c.ID), slog.Int(event.KeyAttempt, attempt),
		slog.String(event.KeyCause, c.Reason()),
		slog.Int(event.KeyCandidates, c.PoolSize), slog.Int(event.KeyLoad, c.Load.ExpectedPeak()),
		slog.Int(event.KeyExpectedTokens, x.expected),
		slog.Int64(event.KeyExpectedFirst, c.Wait.FirstEvent.Milliseconds()), slog.Float64(event.KeyExpectedPauses, thousandths(c.ExpectedPauses)))
	if x.returned {
		attrs = append(attrs, slog.Bool(event.KeyReturned, true))
	}
	attrs = backup.append(attrs)
	x.log(event.RequestSent, x.relay.Staleness.Append(attrs)...)
}

// append adds the backup engine and the figures behind the choice.
func (b backupChoice) append(attrs []slog.Attr) []slog.Attr {
	if b.server != nil {
		attrs = append(attrs, slog.String(event.KeyBackup, b.server.ID))
	}
	if b.notice > 0 {
		attrs = append(attrs,
			slog.Int64(event.KeyEmptying, b.drainTime.Milliseconds()), slog.Int64(event.KeyNotice, b.notice.Milliseconds()))
	}
	return attrs
}

// logCrowded logs a refusal for overload, with the best candidate and its estimates.
func (x *run) logCrowded(c *picker.Candidate, p admission.Policy, waited time.Duration) {
	x.relay.Metrics.OrDiscard().OverloadRefusals.Inc(x.job.Route.Name)
	x.log(event.EnginesCrowded, x.relay.Staleness.AppendView([]slog.Attr{
		slog.String(event.KeyServer, c.ID), slog.Int(event.KeyCandidates, c.PoolSize),
		slog.Int(event.KeyLoad, c.Load.ExpectedPeak()), slog.Int(event.KeyPendingPrefill, c.Load.PendingPrefill),
		slog.Int64(event.KeyExpectedFirst, c.Wait.FirstEvent.Milliseconds()), slog.Int64(event.KeyWithin, p.MaxWait(waited).Milliseconds()),
		slog.Bool(event.KeyReturned, p.Returning), slog.Bool(event.KeyOverShare, p.OverShare), slog.Int64(event.KeyElapsed, waited.Milliseconds()),
	})...)
}

func (x *run) logResent(from string, to *registry.Server, attempt int, cause error) {
	x.relay.Metrics.OrDiscard().Resends.Inc(causeLabel(cause))
	x.log(event.RequestResent,
		slog.String(event.KeyFrom, from), slog.String(event.KeyTo, to.ID),
		slog.Int(event.KeyAttempt, attempt), slog.String(event.KeyCause, cause.Error()),
		slog.Int(event.KeyBudgetLeft, x.relay.RetryBudget.Remaining(x.job.Service.Name)))
}

func (x *run) logFailed(engine *registry.Server, stage string, perhapsRun bool, err error) {
	x.relay.Metrics.OrDiscard().Attempts.Inc(engine.ID, stage)
	attrs := []slog.Attr{
		slog.String(event.KeyServer, engine.ID), slog.String(event.KeyStage, stage),
		slog.Bool(event.KeyPerhapsRun, perhapsRun), slog.String(event.KeyCause, err.Error()),
	}
	if perhapsRun {
		attrs = append(attrs, slog.String(event.KeyFingerprint, x.fingerprint().String()), x.segments())
	}
	x.log(event.RequestFailed, attrs...)
}

func (x *run) segments() slog.Attr {
	return slog.Any(event.KeySegments, x.job.Request.SharedSegments)
}

func (x *run) fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of(x.job.Request, x.job.Account)
}

// countAnswered counts an engine's answer by result.
func (x *run) countAnswered(engine *registry.Server, status int) {
	result := resultAnswered
	if status >= minFailedStatus {
		result = resultFailed
	}
	x.relay.Metrics.OrDiscard().Attempts.Inc(engine.ID, result)
}

// logBackup logs the backup engine that was chosen after a move. The first backup is logged with
// the send.
func (x *run) logBackup(engine *registry.Server, backup backupChoice) {
	if backup.server == nil {
		return
	}
	attrs := backup.append([]slog.Attr{
		slog.String(event.KeyServer, engine.ID), slog.String(event.KeyReason, "the stream has moved"),
	})
	x.log(event.StreamBackupChosen, x.relay.Staleness.AppendView(attrs)...)
}

// engineAndEvents returns the present engine, its backup and the number of events passed on.
func (x *run) engineAndEvents() (engine, backup string, events int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return idOf(x.engine), idOf(x.backup), x.split.Events()
}

func (x *run) logSwitchBegins(c *switchover) {
	engine, backup, events := x.engineAndEvents()
	x.log(event.StreamStalled,
		slog.String(event.KeyServer, engine), slog.String(event.KeyBackup, backup), slog.Int(event.KeyEvents, events),
		slog.Int64(event.KeySilent, c.silent.Milliseconds()))
}

// logSwitchEnded logs the outcome of a switch. The lock must be held.
func (x *run) logSwitchEnded(c *switchover, o offerResult) {
	outcome := c.outcome(o)
	x.relay.Metrics.OrDiscard().Switches.Inc(outcome)
	attrs := []slog.Attr{
		slog.String(event.KeyServer, idOf(x.engine)), slog.String(event.KeyOutcome, outcome),
		slog.Int64(event.KeySilent, x.relay.Clock.Since(c.began).Milliseconds()+c.silent.Milliseconds()),
	}
	if o.err != nil {
		attrs = append(attrs, slog.String(event.KeyCause, o.err.Error()))
	}
	x.log(event.StreamSwitchEnded, attrs...)
}

func (x *run) logBroke(cause error) {
	engine, backup, events := x.engineAndEvents()
	x.log(event.StreamBroke,
		slog.String(event.KeyServer, engine), slog.Int(event.KeyEvents, events),
		slog.Int64(event.KeySilent, x.silentFor(x.relay.Clock.Now()).Milliseconds()),
		slog.String(event.KeyBackup, backup), slog.String(event.KeyCause, cause.Error()),
		slog.String(event.KeyFingerprint, x.fingerprint().String()), x.segments(),
		slog.Int64(event.KeyElapsed, x.relay.Clock.Since(x.began).Milliseconds()))
}

func (x *run) logLost(cause error) {
	x.relay.Metrics.OrDiscard().StreamsLost.Inc(causeLabel(cause))
	engine, _, events := x.engineAndEvents()
	x.log(event.StreamLost, x.relay.Staleness.AppendView([]slog.Attr{
		slog.String(event.KeyServer, engine), slog.Int(event.KeyEvents, events),
		slog.String(event.KeyCauses, cause.Error()),
		slog.Int64(event.KeyElapsed, x.relay.Clock.Since(x.began).Milliseconds()),
	})...)
}

func (x *run) logMoved(from *registry.Server, at *copyRef, took time.Duration) {
	way := event.WayMove
	if at.name == x.job.Request.ID {
		way = event.WayBackup
	}
	metrics := x.relay.Metrics.OrDiscard()
	metrics.StreamsMoved.Inc(way)
	metrics.MovePause.Observe(took, way)
	_, _, events := x.engineAndEvents()
	x.log(event.StreamMoved,
		slog.String(event.KeyFrom, from.ID), slog.String(event.KeyTo, at.server.ID),
		slog.String(event.KeyWay, way), slog.Int64(event.KeyPause, took.Milliseconds()),
		slog.Int(event.KeyEvents, events))
}

func (x *run) logEnded() {
	x.log(event.StreamEnded,
		slog.String(event.KeyServer, idOf(x.engine)), slog.Int(event.KeyEvents, x.split.Events()),
		slog.Int(event.KeyMoves, int(x.moves.Load())), slog.Int64(event.KeyElapsed, x.timeToFirstEvent.Milliseconds()),
		slog.Int64(event.KeyPause, x.longestPause.Milliseconds()), slog.Int(event.KeyPendingPrefill, x.longestPausePrefill))
}

// thousandths rounds to three decimals.
func thousandths(n float64) float64 { return math.Round(n*1000) / 1000 }

// logFreed logs the result of freeing a copy.
func (x *run) logFreed(engine *registry.Server, err error) {
	attrs := []slog.Attr{slog.String(event.KeyServer, engine.ID)}
	result := resultFreed
	if err != nil {
		result = resultFailed
		attrs = append(attrs, slog.String(event.KeyCause, err.Error()))
	}
	x.relay.Metrics.OrDiscard().CopiesFreed.Inc(result)
	x.log(event.StreamCopyFreed, attrs...)
}

// logToldToStop logs that an engine went on with a generation that had left it, and was told to stop.
func (x *run) logToldToStop(engine *registry.Server, stopped bool, err error) {
	attrs := []slog.Attr{slog.String(event.KeyServer, engine.ID), slog.Bool(event.KeyStopped, stopped)}
	if err != nil {
		attrs = append(attrs, slog.String(event.KeyCause, err.Error()))
	}
	x.log(event.StreamToldToStop, attrs...)
}

func (x *run) logMoveFailed(from, to *registry.Server, cause error) {
	x.relay.Metrics.OrDiscard().MovesFailed.Inc(causeLabel(cause))
	x.log(event.StreamMoveFailed,
		slog.String(event.KeyFrom, from.ID), slog.String(event.KeyTo, to.ID),
		slog.String(event.KeyCause, cause.Error()))
}

func (r *Relay) logDeparts(engine *registry.Server, report backend.EngineStatus) {
	r.Logger.LogAttrs(context.Background(), event.EngineDeparts.Level(), string(event.EngineDeparts),
		r.Staleness.AppendView([]slog.Attr{
			slog.String(event.KeyServer, engine.ID), slog.Int64(event.KeyLeavesIn, report.LeavesIn.Milliseconds()),
		})...)
}

func (r *Relay) logStarted(engine, now *registry.Server) {
	r.Logger.LogAttrs(context.Background(), event.EngineStarted.Level(), string(event.EngineStarted),
		r.Staleness.AppendView([]slog.Attr{
			slog.String(event.KeyFrom, engine.ID), slog.String(event.KeyTo, now.ID),
		})...)
}

func (r *Relay) logNoReport(engine *registry.Server, cause error) {
	r.Logger.LogAttrs(context.Background(), event.EngineSilent.Level(), string(event.EngineSilent),
		r.Staleness.AppendView([]slog.Attr{
			slog.String(event.KeyServer, engine.ID), slog.String(event.KeyCause, cause.Error()),
		})...)
}

// logByPeer logs that an engine was reached through a peer.
func (x *run) logByPeer(engine *registry.Server, peer string) {
	if peer != "" {
		x.log(event.RequestByPeer, slog.String(event.KeyServer, engine.ID), slog.String(event.KeyPeer, peer))
	}
}
