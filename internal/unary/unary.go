// Package unary sends requests that have one complete answer: it picks a backend server, sends, and
// decides whether a failed send may be repeated elsewhere.
//
// Invariants: a request that may not be repeated is sent to another server only if it provably did
// not run; "not run" is reported to a caller only if it holds for every send; second sends are
// taken from the retry budget.
package unary

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/retrybudget"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/staleness"
	"github.com/dalebend/dalebend/internal/telemetry"
)

const (
	// maxConnIdle is the longest idle time of a connection that may carry a request that must not
	// be repeated: a server may drop an idle connection, and a request sent on it then counts as
	// perhaps run.
	maxConnIdle = 300 * time.Millisecond
	// maxSends bounds the servers that a request is offered to, including those that turned it away
	// or were unreachable.
	maxSends = 4
)

// Exchanger sends one request to one backend server.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error)
}

// Sender is safe for concurrent use. Set the exported fields before use.
type Sender struct {
	Clock       clockwork.Clock
	Logger      *slog.Logger
	Picker      *picker.Picker
	Evidence    *evidence.Tracker
	Exchanger   Exchanger
	Codec       backend.Codec
	RetryBudget *retrybudget.Budget
	// Staleness is the age of the box's state for the decision log. It and Metrics may be nil.
	Staleness staleness.Source
	Metrics   *telemetry.Metrics
}

// Job is a request with its configuration.
type Job struct {
	Request *request.Request
	Route   *routetable.Route
	Service *routetable.Service
	Account string
	// Priority is its configured rank, 0 being the most urgent.
	Priority int
	// Regions are the regions that may run it.
	Regions routetable.AllowedRegions
	// Deadline is when the caller must have its answer.
	Deadline time.Time
	// Buffers accounts for the request's buffers; it may be nil.
	Buffers *bufferlimit.Request
}

// Answer is the answer for the caller.
type Answer struct {
	// Status and Header are those of the server; Body is the whole body.
	Status int
	Header map[string][]string
	Body   []byte
}

// Reasons why a request was not offered to another server.
var (
	errNoServer      = errors.New("no backend server may take new work")
	errBudgetSpent   = errors.New("retry budget is spent")
	errRanEnough     = errors.New("it may not run on another backend server")
	errOfferedEnough = errors.New("it was offered to enough backend servers")
	errNoRoom        = errors.New("there is no room for its answer")
	errServerFailed  = errors.New("the backend server answered that it failed")
)

// defaultRetryAfter is the retry delay if no server accepted the request: the queue of a server
// that shed a connection has capacity again within tens of milliseconds on the users' sheets.
const defaultRetryAfter = 50 * time.Millisecond

// noPathRetryAfter is the retry delay if this box has no path to the servers: about the time until it
// probes them again. Another box may have one.
const noPathRetryAfter = 250 * time.Millisecond

// Do returns the answer for the caller, or *runerr.NotRun or *runerr.PerhapsRun.
// The context ends when the caller leaves or at the job's deadline.
func (s *Sender) Do(ctx context.Context, j *Job) (*Answer, error) {
	s.RetryBudget.RecordFirstAttempt(j.Service.Name)
	f := &flight{sender: s, job: j}
	if f.mayHedge() {
		return f.sendHedged(ctx)
	}
	return f.sendInTurn(ctx, resend{})
}
