package unary

import (
	"context"
	"errors"
	"io"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/exchange"
)

// minUnreadBytes is the minimum that a server is assumed to hold of an answer without a length: one
// read.
const minUnreadBytes = 4 << 10

// readAll reads a whole answer into accounted buffers.
func readAll(ctx context.Context, r *exchange.Response, buffers *bufferlimit.Request) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // never fails for a body of package exchange
	body, err := io.ReadAll(io.LimitReader(&countedReader{ctx: ctx, from: r, buffers: buffers}, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.New("answer is too large to be kept whole")
	}
	return body, nil
}

// countedReader accounts for an answer as it arrives. It reads on only once there is buffer
// capacity.
type countedReader struct {
	ctx     context.Context
	from    *exchange.Response
	buffers *bufferlimit.Request
	read    int
}

// Read reads what has arrived and waits until it fits the buffer limits.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.from.Body.Read(p)
	if n == 0 {
		return 0, err
	}
	c.read += n
	if full := c.buffers.AddAnswer(c.ctx, n, c.unreadBytes()); full != nil {
		return n, full
	}
	return n, err
}

// unreadBytes estimates how much of the answer the server still holds. No more than maxAnswerBytes is
// read, whatever length a server states.
func (c *countedReader) unreadBytes() int {
	if c.from.ContentLength >= 0 {
		return max(0, int(min(c.from.ContentLength, maxAnswerBytes))-c.read)
	}
	return max(minUnreadBytes, c.read)
}
