package streaming

import (
	"context"
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/choose"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/registry"
)

// log writes one line of the decision log about the generation.
func (x *run) log(name event.Name, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String(event.KeyRequest, x.job.Request.ID))
	x.relay.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

func (x *run) logSent(attempt int, c *choose.Candidate, backup *registry.Server) {
	x.log(event.RequestSent,
		slog.String(event.KeyServer, c.ID), slog.Int(event.KeyAttempt, attempt),
		slog.Int(event.KeyCandidates, c.Of), slog.Int(event.KeyLoad, c.Load.Peak()),
		slog.Int(event.KeyExpectedTokens, x.expected), slog.String(event.KeyBackup, idOf(backup)),
		slog.Int64(event.KeyViewRevision, x.relay.revision()))
}

func (x *run) logFailed(engine *registry.Server, stage string, err error) {
	x.log(event.RequestFailed,
		slog.String(event.KeyServer, engine.ID), slog.String(event.KeyStage, stage),
		slog.String(event.KeyCause, err.Error()))
}

func (x *run) logBroke(cause error) {
	x.mu.Lock()
	engine, events := idOf(x.engine), x.split.Events()
	x.mu.Unlock()
	x.log(event.StreamBroke,
		slog.String(event.KeyServer, engine), slog.Int(event.KeyEvents, events),
		slog.String(event.KeyCause, cause.Error()))
}

func (x *run) logLost(cause error) {
	x.mu.Lock()
	engine, events := idOf(x.engine), x.split.Events()
	x.mu.Unlock()
	x.log(event.StreamLost,
		slog.String(event.KeyServer, engine), slog.Int(event.KeyEvents, events),
		slog.String(event.KeyCauses, cause.Error()))
}

func (x *run) logMoved(from *registry.Server, at *copyAt, took time.Duration) {
	way := "move"
	if at.name == x.job.Request.ID {
		way = "backup"
	}
	x.mu.Lock()
	events := x.split.Events()
	x.mu.Unlock()
	x.log(event.StreamMoved,
		slog.String(event.KeyFrom, from.ID), slog.String(event.KeyTo, at.server.ID),
		slog.String(event.KeyWay, way), slog.Int64(event.KeyPause, took.Milliseconds()),
		slog.Int(event.KeyEvents, events))
}

func (x *run) logEnded() {
	x.log(event.StreamEnded,
		slog.String(event.KeyServer, idOf(x.engine)), slog.Int(event.KeyEvents, x.split.Events()),
		slog.Int(event.KeyMoves, int(x.moves.Load())), slog.Int64(event.KeyElapsed, x.first.Milliseconds()),
		slog.Int64(event.KeyPause, x.longest.Milliseconds()))
}

func (x *run) logMoveFailed(from, to *registry.Server, cause error) {
	x.log(event.StreamMoveFailed,
		slog.String(event.KeyFrom, from.ID), slog.String(event.KeyTo, to.ID),
		slog.String(event.KeyCause, cause.Error()))
}

// revision returns the revision of the view that decisions are made on.
func (r *Relay) revision() int64 {
	if v := r.Directory.View(); v != nil {
		return v.Revision
	}
	return 0
}
