package callers

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/platform/standin"
)

// afterWait is how long past the time that a caller has stated it closes.
const afterWait = 500 * time.Millisecond

// caller sends one request after another, on a connection that it keeps.
type caller struct {
	clock  clockwork.Clock
	record *history.Recorder
	logger *slog.Logger
	// choose gives the box of the next connection.
	choose func() *Box

	box  *Box
	conn *standin.CallerConn
}

// do sends a request and writes down what comes of it.
func (c *caller) do(ctx context.Context, o *order) {
	if !c.connect(ctx) {
		return
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { c.hangUp(conn) })
	defer stop()
	q := &o.Request
	q.Box, q.Life, q.Sent = c.box.Name, c.box.Life(), c.record.Now()
	err := c.conn.SetDeadline(c.clock.Now().Add(o.wait + afterWait))
	if err == nil {
		err = c.exchange(q, o.call())
	}
	q.Done, q.EndLife = c.record.Now(), c.box.Life()
	if err != nil {
		q.Why = err.Error()
		q.GivenUp = errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil
		c.leave()
	}
	c.record.Add(func(h *history.History) { h.Requests = append(h.Requests, *q) })
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(q *history.Request, call standin.Call) error {
	reply, err := c.conn.Send(call)
	if err != nil {
		return err
	}
	q.Status, q.AnswerID, q.Proof = reply.Status, reply.ID, reply.Proof
	text, err := reply.Text()
	q.Text = text
	if q.Events == 0 || q.Status != successStatus {
		q.Text = history.Digest(text)
	}
	if err != nil {
		return err
	}
	q.Whole = true
	open, surplus := c.conn.CheckIdle(c.clock)
	q.Surplus = surplus
	if !open || reply.Close {
		c.leave()
	}
	return nil
}

// connect opens a connection if there is none, or none that is still open.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil {
		if open, _ := c.conn.CheckIdle(c.clock); open {
			return true
		}
		c.leave()
	}
	box := c.choose()
	conn, err := standin.Dial(ctx, box.Front)
	if err != nil {
		c.logger.Debug("caller cannot connect", "box", box.Name, "error", err)
		return false
	}
	c.box, c.conn = box, conn
	return true
}

// leave closes the connection.
func (c *caller) leave() {
	if c.conn == nil {
		return
	}
	c.hangUp(c.conn)
	c.conn = nil
}

// hangUp closes a connection, under a request that waits as well.
func (c *caller) hangUp(conn *standin.CallerConn) {
	if err := conn.Close(); err != nil {
		c.logger.Debug("connection was closed already", "error", err)
	}
}
