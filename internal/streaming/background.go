package streaming

import (
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/panics"
)

// background does work for the generation in a goroutine of its own.
func (x *run) background(work panics.Work, f func()) {
	go func() { _ = x.catch(work, f) }() // already logged
}

// catch does work for the generation and returns its panic, which is logged, or nil.
func (x *run) catch(work panics.Work, f func()) *panics.Error {
	return x.relay.catch(work, f, slog.String(event.KeyRequest, x.job.Request.ID))
}

// catch does work for some generations or one engine and returns its panic, which is logged, or nil.
func (r *Relay) catch(work panics.Work, f func(), attrs ...slog.Attr) *panics.Error {
	p := panics.Catch(f)
	if p != nil {
		p.Report(r.Logger, r.Metrics, work, attrs...)
	}
	return p
}
