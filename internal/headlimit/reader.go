// Package headlimit bounds the head of a message while a parser reads it from a connection that stays
// in use afterwards.
package headlimit

import (
	"errors"
	"io"
)

// ErrTooLong is the error of a read beyond the bound.
var ErrTooLong = errors.New("head is too long")

// Reader reads from a connection, at most a bound until Lift is called. It is not safe for concurrent
// use.
type Reader struct {
	from   io.Reader
	left   int
	lifted bool
}

// New returns a reader of at most bound bytes.
func New(from io.Reader, bound int) *Reader { return &Reader{from: from, left: bound} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.lifted {
		return r.from.Read(p)
	}
	if r.left == 0 {
		return 0, ErrTooLong
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// Lift removes the bound, as the head has been read.
func (r *Reader) Lift() { r.lifted = true }
