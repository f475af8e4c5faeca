package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/callerconn"
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/runerr"
	"github.com/dalebend/dalebend/internal/serverlimit"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/unary"
)

// exchange is one request and its answer.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	http   *http.Request
	conn   *callerconn.Conn
	// buffers accounts for the request's buffers besides those of the connection.
	buffers *bufferlimit.Request
	req     *request.Request
	table   *routetable.Table
	route   *routetable.Route
	account routetable.Account
	// counted is set once the outcome was counted.
	counted bool
	// begun is set once the head of an answer was passed to net/http, abort if the connection must be
	// closed because the answer ended early.
	begun, abort bool
}

// run answers the request, whatever happens. Without a whole answer it closes the connection.
func (x *exchange) run(ending context.Context) {
	if p := panics.Catch(func() { x.answer(ending) }); p != nil {
		x.panicked(p)
	}
	if x.abort || !x.begun {
		// For a handler that returns without an answer, net/http sends an empty 200.
		panic(http.ErrAbortHandler)
	}
}

// panicked ends a request whose work panicked. A server may have run it.
func (x *exchange) panicked(p *panics.Error) {
	p.Report(x.server.Logger, x.server.Metrics, panics.Handling, x.requestAttrs()...)
	if x.begun {
		x.recordBroken(p, 0)
		x.abort = true
		return
	}
	x.logGivenUp(http.StatusBadGateway, p)
	x.writeRefusal(refusal{status: http.StatusBadGateway, reason: errDefect.Error()})
}

// errDefect is all that a caller is told of a panic.
var errDefect = errors.New("a defect of the box ended the request")

// answer answers the request. The work on it ends with the context.
func (x *exchange) answer(ending context.Context) {
	x.buffers = x.conn.Buffers().BeginRequest()
	defer x.buffers.End()
	if err := x.server.Codec.Parse(x.req); err != nil {
		x.refuse(refusal{status: http.StatusBadRequest, class: badRequest, reason: err.Error()})
		return
	}
	if x.server.HeldUp.Await(ending) != nil {
		x.refuse(stoppingRefusal())
		return
	}
	if !x.admit() {
		return
	}
	if !x.readBody() || !x.checkDrain() {
		return
	}
	service := x.table.Service(x.route.Target(draw()))
	if !x.checkQuarantine(service) {
		return
	}
	deadline := x.deadline()
	ctx, cancel := clockctx.WithDeadline(x.http.Context(), x.server.Clock, deadline)
	defer cancel()
	defer context.AfterFunc(ending, cancel)()
	if x.route.Stream && service.Engine != nil {
		x.stream(ctx, service, deadline)
		return
	}
	x.single(ctx, service, deadline)
}

// priority returns the configured rank of the request.
func (x *exchange) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// regions returns the regions that may run the request.
func (x *exchange) regions() routetable.AllowedRegions {
	return x.route.AllowedRegions.Intersect(x.account.AllowedRegions)
}

func (x *exchange) single(ctx context.Context, service *routetable.Service, deadline time.Time) {
	answer, err := x.server.Unary.Do(ctx, &unary.Job{
		Request: x.req, Route: x.route, Service: service, Account: x.account.Name,
		Priority: x.priority(), Regions: x.regions(), Deadline: deadline, Buffers: x.buffers,
	})
	if err != nil {
		x.failed(ctx, err)
		return
	}
	s := &sink{x: x}
	s.Head(answer.Status, answer.Header)
	if err := s.writeWhole(answer.Body); err != nil {
		x.recordBroken(err, 0)
		return
	}
	x.recordAnswered(answer.Status, 0)
}

func (x *exchange) stream(ctx context.Context, service *routetable.Service, deadline time.Time) {
	s := &sink{x: x}
	err := x.server.Streams.Serve(ctx, &streaming.Job{
		Request: x.req, Route: x.route, Service: service, Account: x.account.Name, Regions: x.regions(),
		Priority: x.priority(), UrgentObjective: x.table.UrgentObjective(service.Name, x.priority()), Deadline: deadline,
		Buffers: x.buffers,
	}, s)
	if err == nil {
		err = s.finish()
	}
	if err == nil {
		x.recordAnswered(s.status, s.events)
		return
	}
	if s.begun {
		x.recordBroken(err, s.events)
		x.abort = true
		return
	}
	x.failed(ctx, err)
}

// failed answers a request that got no answer from a backend server.
func (x *exchange) failed(ctx context.Context, err error) {
	x.recordSlowCaller(err)
	if x.http.Context().Err() != nil {
		x.recordAborted(0)
		return
	}
	stopped := x.server.closing.Load()
	if retryAfter, ok := notRun(err); ok {
		r := notTakenRefusal(err, retryAfter)
		if stopped {
			r = stoppingRefusal()
		}
		x.refuse(r)
		return
	}
	if stopped {
		err = fmt.Errorf("%w: %w", errStopping, err)
	}
	status := http.StatusBadGateway
	if timedOut(ctx) {
		status = http.StatusGatewayTimeout
	}
	x.logGivenUp(status, err)
	x.writeRefusal(refusal{status: status, reason: err.Error()})
}

// errStopping means that the work on a request ended with the server.
var errStopping = errors.New("this box is stopping")

// timedOut reports whether a context ended at its deadline. Err is called only after the end, since
// with a fake clock it blocks until then.
func timedOut(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	default:
		return false
	}
}

// notTakenRefusal is the refusal of a request that no server accepted.
func notTakenRefusal(err error, retryAfter time.Duration) refusal {
	r := refusal{status: http.StatusServiceUnavailable, class: notTaken, reason: err.Error(), retryAfter: retryAfter}
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) {
		r.class, r.fingerprint = quarantined, refused.Fingerprint.String()
	}
	var declined *condition.RefusedError
	if errors.As(err, &declined) {
		r.class = unwanted
	}
	var full *serverlimit.LimitError
	if errors.As(err, &full) {
		r.class = limited
	}
	return r
}

// notRun reports whether an error proves that the request has not run, and returns the retry delay.
func notRun(err error) (retryAfter time.Duration, ok bool) {
	var e *runerr.NotRun
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.RetryAfter, true
}
