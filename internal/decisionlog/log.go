// Package decisionlog writes the log with which operators analyze failures: one JSON object for
// each decision on a request and each change of the process's state.
//
// Callers render lines, and a goroutine of the log writes them, so that a slow reader blocks
// nobody. The queue between them is bounded, and each event has its own budget; lines that don't
// fit are counted and reported.
package decisionlog

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// batchDelay is the time over which lines are batched into one write: a system call for each
	// line would cost more than rendering it. It is also how much a killed process loses.
	batchDelay = 20 * time.Millisecond
	// flushTimeout limits the last write at a stop: a reader that takes nothing for so long doesn't
	// delay the stop further.
	flushTimeout = 200 * time.Millisecond
	// reportInterval is the minimum time between reports of dropped lines, so that they stay a
	// small part of the output.
	reportInterval = time.Second
)

// Log is the decision log of a process. A nil *Log drops every line without counting it.
type Log struct {
	// Level is the minimum level that is written; set it before use. The zero value is info.
	Level slog.Level

	clock   clockwork.Clock
	out     io.Writer
	queue   *queue
	budgets *budgets
	// render writes into the queue.
	render slog.Handler
	// report writes to out; only the writing goroutine uses it.
	report slog.Handler

	dropped atomic.Uint64
	// unreported is set if lines were dropped since the last report.
	unreported atomic.Bool

	// Used by the writing goroutine only: the time of the last report, and whether a timer for the
	// next one runs.
	reportedAt      time.Time
	reportScheduled bool
}

// New returns the log of a box, which writes to w once Run is called. Lines are accepted at once.
func New(w io.Writer, clock clockwork.Clock, box string) *Log {
	q := newQueue()
	options := &slog.HandlerOptions{ReplaceAttr: nameEvent}
	named := []slog.Attr{slog.String(event.KeyBox, box)}
	return &Log{
		clock:   clock,
		out:     w,
		queue:   q,
		budgets: newBudgets(),
		render:  slog.NewJSONHandler(q, options).WithAttrs(named),
		report:  slog.NewJSONHandler(w, options).WithAttrs(named),
	}
}

// Emit writes the line of an event. It never blocks on the reader.
func (l *Log) Emit(name event.Name, attrs ...slog.Attr) {
	if l == nil || name.Level() < l.Level {
		return
	}
	r := slog.NewRecord(l.clock.Now(), name.Level(), string(name), 0)
	r.AddAttrs(attrs...)
	l.write(l.render, r)
}

// Logger returns a logger whose messages are event names.
func (l *Log) Logger() *slog.Logger {
	if l == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(&handler{log: l, render: l.render})
}

// Dropped returns the number of dropped lines since the start.
func (l *Log) Dropped() uint64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Run writes lines until ctx ends, then the remaining ones, for at most flushTimeout. A write that
// still blocks then is abandoned, as the process is about to end.
func (l *Log) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.writeLines(ctx)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-l.clock.After(flushTimeout):
	}
}

func (l *Log) writeLines(ctx context.Context) {
	for l.awaitBatch(ctx) {
		l.writeBatch()
		l.reportDropped()
	}
	l.writeBatch()
	l.reportNow(l.clock.Now())
}

// awaitBatch waits until a batch is due, and returns false if ctx ended.
func (l *Log) awaitBatch(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.queue.work:
	}
	timer := l.clock.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.queue.batchDue:
	case <-timer.Chan():
	}
	return true
}

// writeBatch writes all queued lines at once. A failed write loses them: the process has no other
// place to report it.
func (l *Log) writeBatch() {
	batch, lines := l.queue.take()
	if lines == 0 {
		return
	}
	if _, err := l.out.Write(batch); err != nil {
		l.dropped.Add(uint64(lines))
	}
	l.queue.recycle(batch)
}

// write renders a record into the queue, or counts it as dropped.
func (l *Log) write(render slog.Handler, r slog.Record) {
	r.Time = r.Time.UTC().Truncate(time.Microsecond)
	if !l.budgets.take(r.Message, r.Time) {
		l.drop()
		return
	}
	if l.queue.infoFull() && r.Level < slog.LevelWarn {
		l.dropQueueFull(r.Message)
		return
	}
	// Only the queue's Write can fail.
	if err := render.Handle(context.Background(), ordered(r)); err != nil {
		l.dropQueueFull(r.Message)
	}
}

func (l *Log) dropQueueFull(name string) {
	l.budgets.countQueueFull(name)
	l.drop()
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.unreported.Store(true)
	l.queue.wake()
}

// reportDropped writes a line with the drops since the last such line, at once or when
// reportInterval has passed.
func (l *Log) reportDropped() {
	now := l.clock.Now()
	if !l.unreported.Load() {
		return
	}
	if wait := reportInterval - now.Sub(l.reportedAt); wait > 0 {
		l.reportLater(wait)
		return
	}
	l.reportNow(now)
}

// reportLater wakes the writing goroutine once, when the next report is due.
func (l *Log) reportLater(wait time.Duration) {
	if l.reportScheduled {
		return
	}
	l.reportScheduled = true
	l.clock.AfterFunc(wait, l.queue.wake)
}

func (l *Log) reportNow(now time.Time) {
	l.unreported.Store(false)
	l.reportScheduled = false
	counts := l.budgets.takeCounts()
	if len(counts) == 0 {
		return
	}
	r := slog.NewRecord(now.UTC().Truncate(time.Microsecond), event.LinesDropped.Level(), string(event.LinesDropped), 0)
	r.AddAttrs(counts.attrs()...)
	l.reportedAt = now
	if err := l.report.Handle(context.Background(), r); err != nil {
		l.dropped.Add(1)
	}
}

// nameEvent renames the message key. It also renders the level, since slog would do so by
// reflection, which takes as long as half of a line.
func nameEvent(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = event.KeyEvent
	case slog.LevelKey:
		if level, ok := a.Value.Any().(slog.Level); ok {
			a.Value = slog.StringValue(level.String())
		}
	}
	return a
}
