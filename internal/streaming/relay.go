// Package streaming relays generations whose answers are event streams from an engine to a caller
// and keeps them running when their engine leaves.
//
// While a stream runs, its engine may send a copy of its memory to a second engine. When the stream
// breaks or stalls, it resumes there after the last event that the caller has. When an engine is
// about to leave and there is no usable copy, the memory is moved first.
//
// Invariants: a caller gets every event once, in order, from one run, whichever engine runs it;
// events that were not passed on before a stream resumes elsewhere are dropped; a stream is
// reported as complete only after its engine has completed it.
package streaming

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/decodetime"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/prefilltime"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/retrybudget"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/shutdownnotice"
	"github.com/dalebend/dalebend/internal/staleness"
	"github.com/dalebend/dalebend/internal/telemetry"
)

// Exchanger sends one request to one backend server.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error)
}

// Mover copies the memory of a running generation to another engine.
type Mover interface {
	// Copy copies what the target lacks. With stop, the engine first stops the generation and
	// closes its stream without an end mark. It returns the name of the copy. A name together with
	// an error means that the engine stopped the generation and keeps the memory itself.
	Copy(ctx context.Context, source *registry.Server, id, target string, stop bool) (name string, err error)
	// Free releases an unused copy at the engine that named it.
	Free(ctx context.Context, source *registry.Server, name string) error
}

// Sink receives the answer for the caller.
type Sink interface {
	// Head begins the answer.
	Head(status int, header http.Header)
	// Events passes complete events on without waiting for the caller. An error means that the
	// caller is gone.
	Events(p []byte) error
	// Behind reports whether the caller has not taken all events yet.
	Behind() bool
	// Await waits until more events may be read for a caller that is behind. unread is the number
	// of bytes that the engine holds meanwhile. An error means that the stream must end.
	Await(ctx context.Context, unread int) error
}

// Relay is safe for concurrent use. Set the exported fields before use.
type Relay struct {
	Box            string
	Clock          clockwork.Clock
	Logger         *slog.Logger
	Picker         *picker.Picker
	Directory      *registry.Directory
	Evidence       *evidence.Tracker
	EngineLoad     *engineload.Tracker
	ShutdownNotice *shutdownnotice.Estimator
	AnswerLengths  *outputlength.Estimator
	PrefillTime    *prefilltime.Estimator
	// DecodeTime learns the engines' time per output token. It may be nil.
	DecodeTime   *decodetime.Estimator
	Exchanger    Exchanger
	Codec        backend.Codec
	Mover        Mover
	StatusReader StatusReader
	RetryBudget  *retrybudget.Budget
	// AccountShares records the tokens that each client account uses. It may be nil.
	AccountShares *accountshare.Tracker
	// RetryPriority knows the callers that have priority after a refusal. It may be nil.
	RetryPriority *retrypriority.Tracker
	// PathDown, if set, reports whether open connections of this box to a server may hang, as its path is
	// down.
	PathDown func(server string) bool
	// OnCheck, if set, is called at each check for stalled streams, several times within 0.1 s.
	OnCheck func()
	// LoadChanged, if set, is called when this box's part of an engine's load has changed.
	LoadChanged func()
	// Staleness is the age of the box's state for the decision log. It and Metrics may be nil.
	Staleness staleness.Source
	Metrics   *telemetry.Metrics

	// heldUp is the time for which the box did not run, as far as the checks for stalls came late, in
	// nanoseconds.
	heldUp atomic.Int64

	mu   sync.Mutex
	runs map[*run]struct{}
}

// Job is a generation with its configuration.
type Job struct {
	Request *request.Request
	Route   *routetable.Route
	Service *routetable.Service
	Account string
	// Regions are the regions that may run it.
	Regions routetable.AllowedRegions
	// Priority is its configured rank, 0 being the most urgent.
	Priority int
	// UrgentObjective is the shortest objective of more urgent streams to the service, 0 for none.
	UrgentObjective time.Duration
	// Deadline is when the stream must have ended.
	Deadline time.Time
	// Buffers accounts for an answer that is no stream; it may be nil.
	Buffers *bufferlimit.Request
}

// Serve relays the answer to the sink. It returns nil after a complete answer; *runerr.NotRun or
// *runerr.PerhapsRun if nothing was passed on; *Broken if the stream ended early after that. The
// context ends when the caller leaves or at the job's deadline.
func (r *Relay) Serve(ctx context.Context, j *Job, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	r.RetryBudget.RecordFirstAttempt(j.Service.Name)
	x := &run{ctx: ctx, relay: r, job: j, sink: sink, expected: r.expected(j), began: j.Request.Arrived}
	r.add(x)
	defer r.remove(x)
	var err error
	if p := x.catch(panics.Stream, func() { err = x.serve(ctx) }); p != nil {
		err = &Broken{cause: p}
	}
	cancel()
	x.cancelSwitch()
	if err != nil {
		// After cancelSwitch, as a switch to the backup may have been pending.
		x.background(panics.Release, x.freeBackup)
	}
	return err
}

// expected returns the expected number of tokens of the answer.
func (r *Relay) expected(j *Job) int {
	if j.Request.HintTokens > 0 {
		return r.AnswerLengths.Hints(lengthKey(j)).ExpectedLength(j.Request.HintTokens, j.Request.MaxTokens)
	}
	mean := int(r.AnswerLengths.Curve(lengthKey(j)).Mean())
	if j.Request.MaxTokens > 0 {
		return min(mean, j.Request.MaxTokens)
	}
	return mean
}

// lengthKey returns the class of answers among which the length is learned.
func lengthKey(j *Job) outputlength.Key {
	return outputlength.Key{Model: j.Request.Model, Account: j.Account, Kind: j.Route.Name}
}

func (r *Relay) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[*run]struct{})
	}
	r.runs[x] = struct{}{}
}

func (r *Relay) remove(x *run) {
	x.clearPlacement()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, x)
}

// openRuns returns the open streams.
func (r *Relay) openRuns() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*run, 0, len(r.runs))
	for x := range r.runs {
		list = append(list, x)
	}
	return list
}

// OpenStreams returns the number of open streams.
func (r *Relay) OpenStreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *Relay) loadChanged() {
	if r.LoadChanged != nil {
		r.LoadChanged()
	}
}
