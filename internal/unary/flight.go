package unary

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/runerr"
	"github.com/dalebend/dalebend/internal/wholebody"
)

// flight is one request with its sends.
type flight struct {
	sender *Sender
	job    *Job

	mu sync.Mutex
	// open counts the sends in progress.
	open int
	// arrived counts the completed sends that reached a server or may have.
	arrived int
	// ran counts the servers that ran the request or may have.
	ran int
	// tried lists the servers that it was offered to.
	tried []string
}

// sendResult is the result of one send.
type sendResult struct {
	answer *Answer
	// final is set when the answer is for the caller; otherwise another server may be tried.
	final bool
	// arrived is set when the request reached the server or may have.
	arrived bool
	// ran is set when the server ran the request or may have.
	ran bool
	err error
	// stop is the reason to try no further server, or nil.
	stop error
	// result is the metric label.
	result string
}

// sendInTurn offers the request to one server after another. For a hedge, why is the reason for the
// first send.
func (f *flight) sendInTurn(ctx context.Context, why resend) (*Answer, error) {
	var last sendResult
	for ctx.Err() == nil {
		c, err := f.next(why)
		if err != nil {
			if last.answer != nil {
				f.logNotResent(why.from, err)
			}
			return f.finalAnswer(last, err)
		}
		v := f.send(ctx, c)
		f.recordResult(v)
		if v.final {
			return v.answer, nil
		}
		if v.answer == nil {
			// A server's own failure tells the caller more than an error of this box.
			v.answer = last.answer
		}
		if v.stop != nil {
			return f.finalAnswer(v, v.stop)
		}
		last = v
		why = resend{from: c.ID, cause: v.err, result: v.result}
	}
	return f.finalAnswer(last, ctx.Err())
}

// next picks a server that was not tried yet. From the second arrival on it takes a retry from the
// budget.
func (f *flight) next(why resend) (*picker.Candidate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open+f.ran >= f.maxRuns() {
		return nil, errRanEnough
	}
	if len(f.tried) >= maxSends {
		return nil, errOfferedEnough
	}
	c := f.sender.Picker.PickServer(f.job.Service.Name, f.job.Priority, f.job.Regions, f.tried)
	if c == nil {
		return nil, f.noServerError()
	}
	if f.open+f.arrived > 0 && !f.sender.RetryBudget.TakeRetry(f.job.Service.Name) {
		return nil, errBudgetSpent
	}
	f.tried = append(f.tried, c.ID)
	f.open++
	f.logSend(len(f.tried), c, why)
	return c, nil
}

// noServerError returns the reason why no server is available.
func (f *flight) noServerError() error {
	if err := f.sender.Picker.RefusalReason(f.job.Service.Name, f.job.Priority, f.job.Regions, f.tried); err != nil {
		return err
	}
	return errNoServer
}

// maxRuns returns how many servers may run the request.
func (f *flight) maxRuns() int {
	if f.job.Route.Repeat == routetable.Once {
		return 1
	}
	return max(1, f.job.Route.MaxServers)
}

// recordResult records a completed send.
func (f *flight) recordResult(v sendResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	if v.arrived {
		f.arrived++
	}
	if v.ran {
		f.ran++
	}
}

// finalAnswer returns the answer or error for the caller when no send gave a final answer.
func (f *flight) finalAnswer(last sendResult, cause error) (*Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last.answer != nil {
		return last.answer, nil
	}
	if last.err != nil {
		cause = fmt.Errorf("%w, after: %w", cause, last.err)
	}
	if f.ran > 0 {
		return nil, &runerr.PerhapsRun{Cause: cause}
	}
	return nil, &runerr.NotRun{RetryAfter: retryAfter(cause), Cause: cause}
}

// retryAfter returns the retry delay for a request that no server ran, depending on the cause; 0 is
// none.
func retryAfter(cause error) time.Duration {
	var held *quarantine.RefusedError
	if errors.As(cause, &held) {
		return held.RetryAfter
	}
	var refused *condition.RefusedError
	if errors.As(cause, &refused) && refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	if errors.Is(cause, exchange.ErrNoPath) {
		return noPathRetryAfter
	}
	return defaultRetryAfter
}

// send offers the request to one server and waits for the whole answer.
func (f *flight) send(ctx context.Context, c *picker.Candidate) sendResult {
	s := f.sender
	defer s.Picker.BeginRequest(c.ID)()
	start := s.Clock.Now()
	bounded, giveUp := context.WithCancel(ctx)
	defer giveUp()
	resp, err := s.Exchanger.Do(bounded, f.target(c), f.exchangeRequest(c, start))
	if err != nil {
		return f.recordFailed(ctx, c, start, err)
	}
	f.logByPeer(c, resp.Peer)
	if s.Codec.NotRun(resp.Status, resp.Header) {
		return f.recordTurnedAway(c, resp, giveUp)
	}
	body, err := wholebody.Read(ctx, resp, f.job.Buffers)
	if err != nil {
		return f.recordFailed(ctx, c, start, err)
	}
	took := s.Clock.Since(start)
	good := resp.Status < 500
	if resp.Status < 300 && !s.Codec.Authentic(resp.Header) {
		return f.recordFailed(ctx, c, start, errUnproven)
	}
	s.Evidence.RecordAnswer(c.ID, took, !good)
	answer := &Answer{Status: resp.Status, Header: s.Codec.CallerHeader(resp.Header), Body: body}
	v := sendResult{answer: answer, final: true, arrived: true, ran: true, result: resultAnswered}
	if !good {
		v.result = resultStatus
		v.err = errServerFailed
		v.final = f.job.Route.Repeat != routetable.Repeatable
	}
	f.count(c, v.result)
	if !v.final {
		f.logStatus(c, resp.Status)
	}
	return v
}

func (f *flight) target(c *picker.Candidate) exchange.Target {
	return exchange.Target{Key: c.ID, Addr: c.Addr, MaxConns: f.job.Service.MaxConns}
}

func (f *flight) exchangeRequest(c *picker.Candidate, now time.Time) *exchange.Request {
	r := f.job.Request
	send := &backend.SendOptions{
		Server: c.Server, Account: f.job.Account, Priority: -1,
		Timeout: f.job.Deadline.Sub(now),
	}
	x := &exchange.Request{
		Method: r.Method, URI: r.URI, Host: r.Host,
		Header: f.sender.Codec.RequestHeader(r, send),
		Body:   r.Body, HasBody: r.HasBody, Matches: f.sender.Codec.AnswerMatcher(r),
		ID: r.ID, Account: f.job.Account, Service: f.job.Service.Name, Model: r.Model, Segments: r.SharedSegments,
	}
	if f.job.Route.Repeat == routetable.Once {
		x.MaxIdle = maxConnIdle
	}
	return x
}

// recordTurnedAway handles an answer by which the server states that it did not run the request.
func (f *flight) recordTurnedAway(c *picker.Candidate, resp *exchange.Response, giveUp context.CancelFunc) sendResult {
	if f.sender.Codec.Misdirected(resp.Status) {
		f.sender.Evidence.RecordUnreachable(c.ID, "another server has its address")
	}
	f.logFailed(c, stageTurnedAway, false, f.sender.readRefusal(resp, giveUp))
	return sendResult{arrived: true, err: errors.New("turned away by " + c.ID), result: stageTurnedAway}
}

// recordFailed handles a send without a complete answer.
func (f *flight) recordFailed(ctx context.Context, c *picker.Candidate, start time.Time, err error) sendResult {
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		f.logFailed(c, resultQuarantined, false, err.Error())
		return sendResult{err: err, stop: err, result: resultQuarantined}
	}
	stage := exchange.Unanswered
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		stage = failure.Stage()
	}
	notSent := stage.Unsent()
	f.logFailed(c, stage.String(), !notSent, err.Error())
	if notSent {
		if ctx.Err() == nil && stage == exchange.NotSent {
			f.sender.Evidence.RecordUnreachable(c.ID, err.Error())
		}
		return sendResult{err: err, result: stage.String()}
	}
	var full *bufferlimit.SlowCallerError
	if errors.As(err, &full) {
		// The server has answered; it is this box that lacks buffer capacity.
		return sendResult{arrived: true, ran: true, err: err, stop: errNoRoom, result: resultNoRoom}
	}
	took := f.sender.Clock.Since(start)
	if goal := f.job.Route.Objective; ctx.Err() == nil || goal > 0 && took > goal {
		// The send was given up after more than the objective without an answer: the only evidence
		// of a server that hangs.
		f.sender.Evidence.RecordAnswer(c.ID, took, true)
	}
	return sendResult{arrived: true, ran: true, err: err, result: stage.String()}
}
