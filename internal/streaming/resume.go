package streaming

import (
	"context"
	"errors"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/registry"
)

// resumeElsewhere resumes a stream that ended early, at the target of a move or at the backup
// engine.
func (x *run) resumeElsewhere(ctx context.Context, cause error) error {
	x.logBroke(cause)
	left := x.currentEngine()
	var backup *copyRef
	at := x.movedCopy(ctx)
	if at == nil || x.replaced(at.server) {
		if !errors.Is(cause, errSilent) {
			x.relay.ShutdownNotice.RecordStreamBreak(idOf(x.currentEngine()))
		}
		backup = x.backupCopy()
		at = backup
	}
	o := x.continueAt(ctx, at, nil)
	if back := at.atSource(); back != nil && o.notRun() {
		o = x.continueAt(ctx, back, nil)
	}
	if o.err != nil {
		x.logLost(errors.Join(cause, o.err))
		return errors.Join(cause, o.err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.split.DropPartial()
	x.answer = o.answer
	if at == backup {
		// Its stream broke off, but the engine may not know.
		x.stopOld(left, x.engine)
	}
	return nil
}

// movedCopy waits for a move that stopped the generation and returns the resulting copy, or nil.
func (x *run) movedCopy(ctx context.Context) *copyRef {
	x.mu.Lock()
	m := x.move
	if m == nil || !m.stopping {
		x.mu.Unlock()
		return nil
	}
	x.mu.Unlock()
	select {
	case <-m.done:
	case <-ctx.Done():
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.move == m {
		x.move = nil
	}
	return m.at
}

// backupCopy returns the copy at the backup engine, or nil if there is none or the engine is about
// to end. An engine that only declines new work is usable: the generation is not new, and no other
// engine has its memory.
func (x *run) backupCopy() *copyRef {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.backup == nil || !x.relay.Directory.CanContinue(x.backup.ID) {
		return nil
	}
	return &copyRef{server: x.backup, holder: x.backup.Addr, name: x.job.Request.ID}
}

// continueAt sends the generation to the engine that holds a copy of its memory, to resume after
// the last event that the caller has. c is set if the stream still runs at another engine.
func (x *run) continueAt(ctx context.Context, at *copyRef, c *switchover) offerResult {
	if at == nil {
		return offerResult{err: errNoCopy}
	}
	if x.replaced(at.server) {
		return offerResult{err: errReplaced}
	}
	x.mu.Lock()
	from := x.engine
	last := x.split.LastID()
	events := x.split.Events()
	var beforeSend func() error
	if c != nil {
		c.resumeAfter = events
		beforeSend = c.beforeSend
	}
	x.mu.Unlock()
	if events == 0 {
		return offerResult{err: errNoEvent}
	}
	x.endStop(ctx, at.server)
	if !at.retryTaken && !x.relay.RetryBudget.TakeRetry(x.job.Service.Name) {
		return offerResult{err: errBudgetSpent}
	}
	if !x.relay.Picker.CanContinue(at.server, at.counted) {
		return offerResult{err: errHeldOff}
	}
	start := x.relay.Clock.Now()
	need := &picker.Requirements{PromptTokens: x.job.Request.PromptTokens, ExpectedTokens: x.expected, Homes: x.job.Regions, Avoid: []string{from.ID}}
	choice := x.chooseBackup(at.server, need)
	resumePoint := &backend.ResumePoint{Holder: at.holder, Copy: at.name, LastEvent: last}
	o := x.offer(ctx, at.server, choice.server, resumePoint, beforeSend)
	if o.err == nil && o.answer.Status != okStatus {
		o.answer.close()
		o = offerResult{arrived: true, err: errNotContinued}
	}
	if o.err != nil {
		x.logMoveFailed(from, at.server, o.err)
		return o
	}
	x.recordResumed(from, at, choice)
	x.logMoved(from, at, x.relay.Clock.Since(start))
	return o
}

// recordResumed accounts for the generation at the engine where it resumed.
func (x *run) recordResumed(from *registry.Server, at *copyRef, choice backupChoice) {
	x.setPlacement(at.server, choice.server)
	if at.server.ID != from.ID && !x.relay.Directory.Takes(at.server.ID) {
		// The engine began to leave while the request was on its way.
		x.relay.Evacuate([]string{at.server.ID})
	}
	x.moves.Add(1)
	x.logBackup(at.server, choice)
}

// okStatus is the status of a resumed stream.
const okStatus = 200

// errHeldOff means that the engine with the copy asked this box to hold off.
var errHeldOff = errors.New("the engine with the copy asked this box to hold off")

var errNotContinued = errors.New("the engine with the copy answered with a failure")
