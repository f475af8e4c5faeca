package unary

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/runerr"
)

// hedgeFraction is the fraction of the route's objective after which a repeatable request is also
// sent to a second server: late enough that most requests were answered, early enough that the
// second server can still answer in time.
const hedgeFraction = 0.5

// mayHedge reports whether the request may be sent to a second server while the first is pending.
// It needs an objective to know when an answer is late.
func (f *flight) mayHedge() bool {
	r := f.job.Route
	return r.Repeat == routetable.Repeatable && r.MaxServers > 1 && r.Objective > 0
}

// sendHedged sends to a second server when the first is slow. The first final answer wins and the
// other send is cancelled.
func (f *flight) sendHedged(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan legResult, 2)
	go f.runLeg(ctx, results, resend{})
	delay := time.Duration(hedgeFraction * float64(f.job.Route.Objective))
	timer := f.sender.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-results:
		return o.answer, o.err
	case <-timer.Chan():
	}
	go f.runLeg(ctx, results, resend{from: f.firstTried(), cause: errSlow, result: resultSlow})
	return bestResult(results, 2)
}

// legResult is the result of the first send or the hedge, with its retries.
type legResult struct {
	answer *Answer
	err    error
}

// firstTried returns the first server that the request was offered to, if any.
func (f *flight) firstTried() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tried) == 0 {
		return ""
	}
	return f.tried[0]
}

// runLeg runs in a goroutine of its own, outside the recovery of the request's handler. After a panic a
// server may have run the request.
func (f *flight) runLeg(ctx context.Context, results chan<- legResult, why resend) {
	var r legResult
	if p := panics.Catch(func() { r.answer, r.err = f.sendInTurn(ctx, why) }); p != nil {
		p.Report(f.sender.Logger, f.sender.Metrics, panics.Attempt, slog.String(event.KeyRequest, f.job.Request.ID))
		r = legResult{err: &runerr.PerhapsRun{Cause: p}}
	}
	results <- r
}

// bestResult returns the first answer that is not a failure, or else the most informative result:
// an answer before an error, "perhaps run" before "not run".
func bestResult(results <-chan legResult, running int) (*Answer, error) {
	var best legResult
	for range running {
		o := <-results
		if o.err == nil && o.answer.Status < 500 {
			return o.answer, nil
		}
		if best.rank() < o.rank() {
			best = o
		}
	}
	return best.answer, best.err
}

// rank orders results by what they tell about the request.
func (o *legResult) rank() int {
	var perhaps *runerr.PerhapsRun
	switch {
	case o.answer != nil:
		return 3
	case errors.As(o.err, &perhaps):
		return 2
	case o.err != nil:
		return 1
	default:
		return 0
	}
}
