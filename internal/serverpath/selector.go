// Package serverpath chooses how this box reaches a backend server.
package serverpath

import (
	"context"
	"errors"
	"net"

	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/reach"
)

// Selector is safe for concurrent use. Set the exported fields before use.
type Selector struct {
	// Reach tracks the servers that this box reaches directly.
	Reach *reach.Tracker
}

// Connect implements exchange.Paths.
func (s *Selector) Connect(ctx context.Context, server string, direct exchange.DialFunc) (net.Conn, error) {
	conn, err := direct(ctx)
	switch {
	case err == nil:
		s.Reach.RecordContact(server)
	case !causedByCaller(ctx):
		s.Reach.RecordFailure(server, err)
	}
	return conn, err
}

// RecordAnswer implements exchange.Paths.
func (s *Selector) RecordAnswer(server string, _ net.Conn) { s.Reach.RecordContact(server) }

// causedByCaller reports whether a dial ended because the request ended, which tells nothing about
// the server.
func causedByCaller(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), exchange.ErrDialTimeout)
}
