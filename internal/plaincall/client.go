// Package plaincall calls plain services.
//
// A call that may be repeated is retried within a budget and hedged when it is slow; others are
// sent once. "Not run" is reported only if no byte can have been sent, or if the backend server
// states it. Answers are read completely before any part is passed on; truncated ones, and those to
// another request, are discarded.
package plaincall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/dialer"
	"github.com/dalebend/dalebend/internal/dispatch"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/retry"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxAnswerBytes  = 8 << 20
	maxConnsPerHost = 4096
	// maxConnIdle is short: if the server closes an idle connection while a call is sent on it, a
	// call that may not be repeated ends as unknown.
	maxConnIdle   = 2 * time.Second
	retryPercent  = 10
	hedgePercent  = 5
	maxAttempts   = 3
	requestHeader = "X-Request-Id"
)

// Client calls plain services. Set the exported fields before Init.
type Client struct {
	Clock   clockwork.Clock
	Metrics metrics.Registry
	// Domain is the failure domain of this box.
	Domain string
	// Seed is the seed of the random numbers.
	Seed uint64

	http    *fasthttp.Client
	retries retry.Budget
	hedges  retry.Budget
	mu      sync.Mutex
	rng     *rand.Rand
	servers map[string]*serverState
	latency latency
	stats   counters
}

type counters struct {
	sent, retried, hedged, lost metrics.Counter
}

// Call is one call of a plain service.
type Call struct {
	// ID is the id of the request, which is sent to the service.
	ID string
	// Account is the client account, which is sent to the service.
	Account string
	Service *fleet.Service
	// Method, URI (path and query), Body and ContentType are those of the caller's request.
	Method      string
	URI         string
	Body        []byte
	ContentType string
	// IdempotencyKey and Traceparent are passed on if set.
	IdempotencyKey string
	Traceparent    string
	// MayRepeat is set if running the call more than once is harmless.
	MayRepeat bool
}

// Result is the result of a call.
type Result struct {
	// Outcome tells whether the call ran.
	Outcome outcome.Outcome
	// Server is the backend server that answered, or the last one tried.
	Server string
	// Status, Body and ContentType are the server's if Outcome is Done.
	Status      int
	Body        []byte
	ContentType string
	// Err is the error for any other outcome.
	Err error
}

// Init must be called before the first call.
func (c *Client) Init() {
	d := &dialer.Dialer{Clock: c.Clock, Timeout: dialTimeout}
	c.http = &fasthttp.Client{
		Dial:                      d.Dial,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       maxConnIdle,
		MaxIdemponentCallAttempts: 1,
		// The body is read by this package: once fasthttp has read it, a body that ended with its
		// connection looks like one with a length.
		StreamResponseBody: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
	c.retries.Percent = retryPercent
	c.hedges.Percent = hedgePercent
	c.rng = rand.New(rand.NewPCG(c.Seed, c.Seed+2))
	c.servers = make(map[string]*serverState)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.stats = counters{
		sent:    metrics.GetOrRegisterCounter("plaincall.sent", c.Metrics),
		retried: metrics.GetOrRegisterCounter("plaincall.retried", c.Metrics),
		hedged:  metrics.GetOrRegisterCounter("plaincall.hedged", c.Metrics),
		lost:    metrics.GetOrRegisterCounter("plaincall.lost", c.Metrics),
	}
}

// Do executes a call.
func (c *Client) Do(ctx context.Context, in *Call) Result {
	c.retries.Earn()
	d := dispatch.Tracker{MayRepeat: in.MayRepeat}
	avoid := ""
	for attempt := 1; ; attempt++ {
		server := c.pick(in.Service, avoid)
		if server == nil {
			return Result{Outcome: outcome.NotRun, Err: fmt.Errorf("service %s has no backend server in use", in.Service.Name())}
		}
		d.RecordSend()
		a := c.attempt(ctx, in, server)
		recordOutcome(&d, a.Outcome)
		a.Outcome = d.Outcome()
		if a.Outcome == outcome.Done || ctx.Err() != nil {
			return a
		}
		if !d.CanSend() || attempt == maxAttempts || !c.retries.Spend() {
			return a
		}
		c.stats.retried.Inc(1)
		avoid = server.Name()
	}
}

// recordOutcome records the outcome of an attempt.
func recordOutcome(d *dispatch.Tracker, o outcome.Outcome) {
	switch o {
	case outcome.Done:
		d.RecordAnswer()
	case outcome.NotRun:
		d.RecordUnsent()
	case outcome.Unknown, outcome.Cut:
		d.RecordLost()
	}
}

// attempt sends a call once, or twice if it may be repeated and is slow.
func (c *Client) attempt(ctx context.Context, in *Call, server *fleet.BackendServer) Result {
	if !in.MayRepeat {
		return c.send(in, server)
	}
	answers := make(chan Result, 2)
	go func() { answers <- c.send(in, server) }()
	c.hedges.Earn()
	waiting := 1
	hedge := c.Clock.After(c.latency.hedgeAfter())
	for {
		select {
		case a := <-answers:
			waiting--
			if a.Outcome == outcome.Done || waiting == 0 {
				return a
			}
		case <-hedge:
			second := c.pick(in.Service, server.Name())
			if second == nil || second == server || !c.hedges.Spend() {
				continue
			}
			c.stats.hedged.Inc(1)
			waiting++
			go func() { answers <- c.send(in, second) }()
		case <-ctx.Done():
			return Result{Outcome: outcome.Unknown, Server: server.Name(), Err: context.Cause(ctx)}
		}
	}
}

// send makes one attempt. Only this goroutine uses the buffers of the response: fasthttp closes a
// connection that has timed out, so a late answer is never read as that of a later request.
func (c *Client) send(in *Call, server *fleet.BackendServer) Result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	in.fill(req, server)
	began := c.Clock.Now()
	c.begin(server)
	c.stats.sent.Inc(1)
	err := c.http.DoTimeout(req, resp, in.Service.Timeout())
	took := c.Clock.Since(began)
	a := classify(in, server, resp, err)
	c.end(server, a.Outcome == outcome.Done)
	if a.Outcome == outcome.Done {
		c.latency.record(took)
	}
	if a.Outcome == outcome.Unknown {
		c.stats.lost.Inc(1)
	}
	return a
}

// fill builds the request for the backend server.
func (in *Call) fill(req *fasthttp.Request, server *fleet.BackendServer) {
	req.SetRequestURI("http://" + server.Address() + in.URI)
	req.Header.SetMethod(in.Method)
	req.Header.Set(requestHeader, in.ID)
	req.Header.Set("Dalebend-Account", in.Account)
	if in.ContentType != "" {
		req.Header.SetContentType(in.ContentType)
	}
	if in.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", in.IdempotencyKey)
	}
	if in.Traceparent != "" {
		req.Header.Set("traceparent", in.Traceparent)
	}
	req.SetBody(in.Body)
}

// classify returns the result of one attempt.
func classify(in *Call, server *fleet.BackendServer, resp *fasthttp.Response, err error) Result {
	a := Result{Outcome: outcome.Unknown, Server: server.Name()}
	var dial *dialer.Error
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns):
		a.Outcome = outcome.NotRun
		a.Err = err
		return a
	case err != nil:
		a.Err = fmt.Errorf("backend server %s: %w", server.Name(), err)
		return a
	}
	if err := checkAnswer(in, server, resp); err != nil {
		closeUnread(resp, err)
		a.Err = err
		return a
	}
	if saysNotRun(resp) {
		a.Outcome = outcome.NotRun
		a.Err = fmt.Errorf("backend server %s did not run the call: status %d", server.Name(), resp.StatusCode())
		closeUnread(resp, a.Err)
		return a
	}
	body, err := readWhole(resp)
	if err != nil {
		a.Err = fmt.Errorf("backend server %s: %w", server.Name(), err)
		return a
	}
	a.Outcome = outcome.Done
	a.Status = resp.StatusCode()
	a.Body = body
	a.ContentType = string(resp.Header.ContentType())
	return a
}

// checkAnswer returns an error for an answer that must not be passed on.
func checkAnswer(in *Call, server *fleet.BackendServer, resp *fasthttp.Response) error {
	if echo := resp.Header.Peek(requestHeader); len(echo) > 0 && !bytes.Equal(echo, []byte(in.ID)) {
		return fmt.Errorf("backend server %s answered another request", server.Name())
	}
	if resp.Header.ContentLength() == lengthUnknown {
		// Such a body ends with its connection, whether complete or not.
		return fmt.Errorf("backend server %s: answer has no end mark: %w", server.Name(), io.ErrUnexpectedEOF)
	}
	return nil
}

// saysNotRun reports whether the backend server states that it did not run the call.
func saysNotRun(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusTooManyRequests ||
		outcome.Parse(string(resp.Header.Peek(outcome.Header))) == outcome.NotRun
}

// closeUnread closes the connection of an answer that is not read.
func closeUnread(resp *fasthttp.Response, cause error) {
	if closer, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = closer.CloseWithError(cause)
	}
}

// readWhole reads an answer to its end, up to maxAnswerBytes.
func readWhole(resp *fasthttp.Response) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("answer is over %d bytes", maxAnswerBytes)
	}
	if closer, ok := stream.(fasthttp.ReadCloserWithError); ok {
		// With an error the connection is closed, because more of the answer may arrive.
		_ = closer.CloseWithError(err)
	}
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return body, nil
}

// lengthUnknown is the content length by which fasthttp marks a body that ends with its connection.
const lengthUnknown = -2
