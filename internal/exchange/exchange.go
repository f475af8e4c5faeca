package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxSurplusAnswers bounds the answers to earlier requests that are skipped before the expected
	// one. More than one is already rare.
	maxSurplusAnswers = 3
	// maxSurplusBytes bounds a skipped answer. Reading more costs more than a new connection.
	maxSurplusBytes = 1 << 20
)

// exchange is one request on one connection.
type exchange struct {
	ctx      context.Context
	client   *Client
	conn     *conn
	addr     string
	stop     func() bool // detaches the connection from ctx
	sent     *sending
	idle     time.Duration // how long the connection may be idle afterwards; 0 closes it
	noReuse  bool          // the connection must not be reused
	finished bool          // the connection was released
	ended    bool          // ctx ended while the connection was in use
}

func start(ctx context.Context, c *Client, conn *conn, addr string) *exchange {
	conn.attach()
	return &exchange{
		ctx:    ctx,
		client: c,
		conn:   conn,
		addr:   addr,
		sent:   &sending{},
		stop:   context.AfterFunc(ctx, conn.close),
	}
}

// run sends the request and reads the head of its answer.
func (x *exchange) run(r *Request) (resp *Response, err error) {
	defer func() {
		if resp == nil {
			// Already done after an error, but not after a panic.
			x.finish(false)
		}
	}()
	x.sent = x.send(r)
	if x.sent.done == nil && x.sent.err != nil && x.sent.n == 0 {
		return nil, x.fail(NotSent, x.sent.err)
	}
	surplus := 0
	for {
		h, f, err := x.readAnswer(r.Method)
		if err != nil {
			return nil, x.fail(x.stageOf(err, surplus), err)
		}
		x.client.paths().RecordAnswer(x.conn.pool.key, x.conn.nc)
		if r.matches(h.header) {
			return x.respond(r, h, f), nil
		}
		surplus++
		if err := x.skipSurplus(r, f, surplus); err != nil {
			return nil, x.fail(InvalidAnswer, err)
		}
	}
}

// readAnswer reads the head of the next final answer.
func (x *exchange) readAnswer(method string) (*answerHead, framing, error) {
	x.conn.left = maxHeadBytes
	defer func() { x.conn.left = unlimited }()
	for {
		h, err := readHead(x.conn)
		if err != nil {
			return nil, framing{}, err
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, framing{}, &malformedError{what: "switch of protocols"}
		}
		if h.informational() {
			continue
		}
		if !x.conn.heads.Parsed(&x.conn.head, h.header) {
			return nil, framing{}, errHeadTooLarge
		}
		f, err := framingOf(method, h)
		return h, f, err
	}
}

// stageOf classifies the failure to read the head of an answer.
func (x *exchange) stageOf(err error, surplus int) Stage {
	var malformed *malformedError
	switch {
	case surplus > 0, errors.As(err, &malformed), errors.Is(err, errHeadTooLarge):
		return InvalidAnswer
	default:
		return Unanswered
	}
}

// skipSurplus reads an answer to an earlier request to its end. The end is certain only if the
// answer has a length and no HEAD request is involved.
func (x *exchange) skipSurplus(r *Request, f framing, count int) error {
	x.noReuse = true
	x.client.counters().surplus.Inc(1)
	x.client.log().Warn("server sent an answer to another request", "server", x.addr)
	if count > maxSurplusAnswers {
		return errSurplusLimit
	}
	if r.Method == http.MethodHead || f.kind == untilClose {
		return errUnknownLength
	}
	in := newBodyReader(x.conn.br, f, x.sent)
	n, err := io.Copy(io.Discard, io.LimitReader(in, maxSurplusBytes+1))
	if err != nil {
		return err
	}
	if n > maxSurplusBytes {
		return errSurplusSize
	}
	return nil
}

// respond builds the response and decides whether the connection may be reused after it. After HEAD
// it may not, because the length of a late answer would be ambiguous. After a request that was not
// written in one go it may not either: the answer may have come early, and the next request would
// wait behind the rest of the body.
func (x *exchange) respond(r *Request, h *answerHead, f framing) *Response {
	if h.persistent() && !x.noReuse && r.Method != http.MethodHead && x.sent.inline() {
		x.idle = idleTime(h.header)
	}
	return &Response{
		Status:        h.status,
		Header:        h.header,
		ContentLength: f.length,
		Body:          &body{x: x, in: newBodyReader(x.conn.br, f, x.sent)},
		Peer:          x.conn.peer(),
		framing:       f,
	}
}

// fail closes the connection and returns the failure.
func (x *exchange) fail(stage Stage, cause error) error {
	x.finish(false)
	if stage != Truncated && x.sent.n == 0 {
		stage = NotSent
	}
	return newFailure(stage, x.conn.describe(x.addr), x.causeOf(cause))
}

// causeOf returns the error that ended the exchange. The end of ctx closes the connection and shows
// up as other errors. A reset is reported once, either to the read or to the write.
func (x *exchange) causeOf(err error) error {
	if x.ended {
		return contextError(x.ctx)
	}
	vague := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if vague && x.sent.err != nil && !errors.Is(x.sent.err, net.ErrClosed) {
		return x.sent.err
	}
	return err
}

// finish releases the connection: to the pool if clean is set and reuse is allowed, otherwise by
// closing it.
func (x *exchange) finish(clean bool) {
	if x.finished {
		return
	}
	x.finished = true
	x.ended = !x.stop()
	keep := clean && !x.ended && x.idle > 0 && x.conn.br.Buffered() == 0
	if !keep {
		x.conn.close()
	}
	x.sent.wait()
	x.conn.detach()
	if keep {
		x.client.putIdle(x.conn, x.idle)
		return
	}
	x.client.release(x.conn.pool)
}

// isDone reports whether ctx has ended. It does not use ctx.Err, which blocks until the end for a
// context with a fake clock.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// contextError returns why ctx ended, wrapping ctx.Err() and its cause.
func contextError(ctx context.Context) error {
	err, cause := ctx.Err(), context.Cause(ctx)
	if cause == nil || errors.Is(err, cause) || errors.Is(cause, err) {
		return err
	}
	return fmt.Errorf("%w: %w", err, cause)
}
