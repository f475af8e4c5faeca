// Package wholebody reads answers of backend servers that are buffered completely before any part
// is passed on.
package wholebody

import (
	"context"
	"errors"
	"io"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/exchange"
)

// MaxBytes bounds an answer: two hundred times the largest answer on the users' sheets.
const MaxBytes = 1 << 20

// minUnreadBytes is the minimum that a server is assumed to hold of an answer without a length: one
// read.
const minUnreadBytes = 4 << 10

// errTooLarge is the error of an answer above MaxBytes, of which nothing may be passed on.
var errTooLarge = errors.New("answer is too large to be kept whole")

// Read reads a whole answer into accounted buffers and closes it. A part of an answer is an error.
// The error wraps *bufferlimit.SlowCallerError if there was no capacity for it.
func Read(ctx context.Context, r *exchange.Response, buffers *bufferlimit.Request) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // never fails for a body of package exchange
	body, err := io.ReadAll(io.LimitReader(&countedReader{ctx: ctx, from: r, buffers: buffers}, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBytes {
		return nil, errTooLarge
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

// unreadBytes estimates how much of the answer the server still holds. No more than MaxBytes is
// read, whatever length a server states.
func (c *countedReader) unreadBytes() int {
	if c.from.ContentLength >= 0 {
		return max(0, int(min(c.from.ContentLength, MaxBytes))-c.read)
	}
	return max(minUnreadBytes, c.read)
}
