package streaming

import (
	"cmp"
	"context"
	"errors"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/runerr"
)

const (
	// maxOffers bounds the engines that a generation is offered to, including those that turned it
	// away or were unreachable.
	maxOffers = 4
	// maxRefusedConns bounds the additional offers to engines that refuse the connection
	// immediately. Each costs a few milliseconds, and during a store outage a third of the engines
	// may be gone without a notice.
	maxRefusedConns = 12
	// immediateRefusal is the longest time for a connection to be refused: some round trips.
	immediateRefusal = 20 * time.Millisecond
	// maxConnIdle is the longest idle time of a connection that may carry a generation. A
	// generation must not be repeated, and a request on a connection that the engine has dropped
	// counts as perhaps run.
	maxConnIdle = 300 * time.Millisecond
	// retryAfter is the retry delay for callers whose generation no engine accepted: about the time
	// until a slot of an engine becomes free.
	retryAfter = 300 * time.Millisecond
)

// place finds an engine that accepts the generation and returns the head of its answer.
func (x *run) place(ctx context.Context) (*answer, error) {
	x.claimPriority()
	t := &offers{
		need: picker.Requirements{
			PromptTokens: x.job.Request.PromptTokens, ExpectedTokens: x.expected, Priority: x.job.Priority,
			Homes: x.job.Regions, MaxPause: x.job.Route.MaxPause,
		},
		cause: errNoEngine,
	}
	for t.canOffer() {
		c, err := x.nextEngine(t)
		if err != nil {
			return nil, err
		}
		o := x.offerNext(ctx, c, t)
		if o.answer != nil {
			return o.answer, nil
		}
		if o.perhapsRun {
			// The generation is not resumed from a copy either: the backup may lack a part of the
			// prompt's memory and would run it a second time.
			x.logLost(o.err)
			return nil, &runerr.PerhapsRun{Cause: o.err}
		}
		var refused *quarantine.RefusedError
		if errors.As(o.err, &refused) {
			return nil, &runerr.NotRun{RetryAfter: refused.RetryAfter, Cause: refused}
		}
		if ctx.Err() != nil {
			return nil, &runerr.NotRun{RetryAfter: retryAfter, Cause: ctx.Err()}
		}
		t.failed(c, o)
	}
	return nil, &runerr.NotRun{RetryAfter: retryAfter, Cause: errors.Join(errOfferedEnough, t.cause)}
}

// offers is the state of the offers of one generation.
type offers struct {
	// need is what the generation requires, with the engines to avoid.
	need picker.Requirements
	// made counts the offers; refused counts those, up to maxRefusedConns, whose connection was
	// refused immediately.
	made, refused int
	// arrived is set when an offer reached its engine or may have.
	arrived bool
	// from is the engine of the last offer, and cause the error.
	from  string
	cause error
}

// canOffer reports whether another engine may be offered the generation.
func (t *offers) canOffer() bool { return t.made-t.refused < maxOffers }

// failed records an offer that was not accepted.
func (t *offers) failed(c *picker.Candidate, o offerResult) {
	t.made++
	t.arrived = t.arrived || o.arrived
	if o.refused && t.refused < maxRefusedConns {
		t.refused++
	}
	t.cause = o.err
	t.from = c.ID
	t.need.Avoid = append(t.need.Avoid, c.ID)
}

// nextEngine returns the next engine to offer the generation to. It takes a retry if an earlier
// offer may have arrived.
func (x *run) nextEngine(t *offers) (*picker.Candidate, error) {
	c, err := x.admitted(t)
	if err != nil {
		return nil, err
	}
	if t.arrived && !x.relay.RetryBudget.TakeRetry(x.job.Service.Name) {
		return nil, &runerr.NotRun{RetryAfter: retryAfter, Cause: errBudgetSpent}
	}
	return c, nil
}

// admitted returns the best engine if it is expected to start the generation in time; otherwise the
// error carries a retry delay for the caller.
func (x *run) admitted(t *offers) (*picker.Candidate, error) {
	policy := admission.Policy{
		Objective: x.job.Route.Objective, UrgentObjective: x.job.UrgentObjective, TimeLeft: x.job.Deadline.Sub(x.began), Returning: x.returned,
		OverShare: x.relay.AccountShares.OverShare(x.job.Account),
	}
	waited := x.relay.Clock.Since(x.began)
	t.need.TTFTObjective = max(x.job.Route.Objective-waited, 0)
	t.need.MaxWait = policy.MaxWait(waited)
	c := x.relay.Picker.PickEngine(x.job.Service, &t.need)
	if c == nil {
		return nil, x.noEngineError(t)
	}
	if policy.Decide(c.Wait, waited) == admission.Refuse {
		x.logCrowded(c, policy, waited)
		after := policy.RetryAfter(x.uniform())
		x.relay.AccountShares.RecordRefusal(x.job.Account)
		x.relay.RetryPriority.RecordRefusal(x.retryKey(), x.job.Account, after)
		return nil, &runerr.NotRun{RetryAfter: after, Cause: errCrowded}
	}
	return c, nil
}

// noEngineError returns the reason why no engine is available.
func (x *run) noEngineError(t *offers) error {
	err := x.relay.Picker.RefusalReason(x.job.Service.Name, t.need.Priority, t.need.Homes, t.need.Avoid)
	var refused *condition.RefusedError
	if !errors.As(err, &refused) {
		return &runerr.NotRun{RetryAfter: retryAfter, Cause: t.cause}
	}
	return &runerr.NotRun{RetryAfter: cmp.Or(refused.RetryAfter, retryAfter), Cause: refused}
}

// claimPriority checks whether the caller retries after a refusal and has priority.
func (x *run) claimPriority() {
	x.returned = x.relay.RetryPriority.Claim(x.retryKey())
	if x.returned {
		x.relay.Metrics.OrDiscard().ReturningCallers.Inc(x.job.Route.Name)
	}
}

// retryKey identifies the request among those of returning callers.
func (x *run) retryKey() uint64 {
	r := x.job.Request
	return retrypriority.Key(x.job.Account, x.job.Route.Name, r.UniqueSegment, r.PromptTokens)
}

// uniform returns a number from 0 to 1 that is derived from the request id.
func (x *run) uniform() float64 {
	return float64(xxhash.Sum64String(x.job.Request.ID)) / math.MaxUint64
}

// offerNext chooses a backup engine and offers the generation to an engine.
func (x *run) offerNext(ctx context.Context, c *picker.Candidate, t *offers) offerResult {
	choice := x.chooseBackup(c.Server, &t.need)
	backup := choice.server
	x.setPlacement(c.Server, backup)
	now := x.relay.Clock.Now()
	x.firstEventForecast = now.Add(c.Wait.FirstEvent)
	x.prefillAloneSince = time.Time{}
	if !c.Wait.Queued {
		x.prefillAloneSince = now
	}
	if t.made > 0 {
		x.logResent(t.from, c.Server, t.made+1, t.cause)
	}
	x.logSent(t.made+1, c, choice)
	return x.offer(ctx, c.Server, backup, nil, nil)
}

// offerResult is the result of an offer to an engine.
type offerResult struct {
	answer *answer
	// arrived is set when the request reached the engine or may have.
	arrived bool
	// perhapsRun is set when the engine may have run the request.
	perhapsRun bool
	// refused is set when the request was not sent because the connection failed immediately.
	refused bool
	err     error
}

// notRun reports whether the engine did not run the request.
func (o *offerResult) notRun() bool {
	return o.err != nil && !o.perhapsRun && !errors.Is(o.err, errNotContinued)
}

// offer sends the generation to an engine and waits for the head of the answer. beforeSend may be nil.
func (x *run) offer(ctx context.Context, engine, backup *registry.Server, from *backend.ResumePoint, beforeSend func() error) offerResult {
	start := x.relay.Clock.Now()
	target := exchange.Target{Key: engine.ID, Addr: engine.Addr, MaxConns: x.job.Service.MaxConns}
	bounded, giveUp := context.WithCancelCause(ctx)
	request := x.exchangeRequest(start, engine, backup, from)
	request.BeforeSend = beforeSend
	resp, err := x.relay.Exchanger.Do(bounded, target, request)
	if err != nil {
		giveUp(nil)
		o := x.offerFailed(ctx, engine, err)
		o.refused = !o.arrived && x.relay.Clock.Since(start) <= immediateRefusal
		return o
	}
	x.logByPeer(engine, resp.Peer)
	a := &answer{Response: resp, giveUp: giveUp}
	if x.relay.Codec.NotRun(resp.Status, resp.Header) {
		a.close()
		x.logFailed(engine, stageTurnedAway, false, errTurnedAway)
		if x.relay.Codec.Misdirected(resp.Status) {
			x.relay.Evidence.RecordUnreachable(engine.ID, "another server has its address")
		}
		return offerResult{arrived: true, err: errTurnedAway}
	}
	if resp.Status < 300 && !x.relay.Codec.Authentic(resp.Header) {
		a.close()
		x.logFailed(engine, stageForeign, true, errUnproven)
		return offerResult{arrived: true, perhapsRun: true, err: errUnproven}
	}
	x.recordEvidence(engine, resp.Status, x.relay.Clock.Since(start))
	x.countAnswered(engine, resp.Status)
	return offerResult{answer: a}
}

// recordEvidence records an answer as evidence about the engine. Engines hardly ever fail a
// generation; one that does will fail the next as well, while it attracts work as the least loaded.
func (x *run) recordEvidence(engine *registry.Server, status int, took time.Duration) {
	if status >= minFailedStatus {
		x.relay.Evidence.RecordUnreachable(engine.ID, "it answered with a failure")
		return
	}
	x.relay.Evidence.RecordAnswer(engine.ID, took, false)
}

var (
	errTurnedAway = errors.New("the engine turned it away")
	errUnproven   = errors.New("success without the engine's proof")
)

func (x *run) offerFailed(ctx context.Context, engine *registry.Server, err error) offerResult {
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		x.logFailed(engine, stageQuarantined, false, err)
		return offerResult{err: err}
	}
	stage := exchange.Unanswered
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		stage = failure.Stage()
	}
	notSent := stage.Unsent()
	x.logFailed(engine, stage.String(), !notSent, err)
	if ctx.Err() == nil && stage != exchange.NoConnection && stage != exchange.Withheld {
		x.relay.Evidence.RecordUnreachable(engine.ID, err.Error())
	}
	return offerResult{arrived: !notSent, perhapsRun: !notSent, err: err}
}

func (x *run) exchangeRequest(now time.Time, engine, backup *registry.Server, from *backend.ResumePoint) *exchange.Request {
	r := x.job.Request
	send := &backend.SendOptions{
		Server: engine, Account: x.job.Account, Priority: x.job.Priority,
		Timeout: x.job.Deadline.Sub(now), Resume: from,
	}
	if backup != nil {
		send.Backup = backup.Addr
	}
	return &exchange.Request{
		Method: r.Method, URI: r.URI, Host: r.Host,
		Header: x.relay.Codec.RequestHeader(r, send),
		Body:   r.Body, HasBody: r.HasBody, Matches: x.relay.Codec.AnswerMatcher(r), MaxIdle: maxConnIdle,
		ID: r.ID, Account: x.job.Account, Service: x.job.Service.Name, Model: r.Model, Segments: r.SharedSegments,
		Continues: from != nil,
	}
}
