package exchange

import (
	"context"
	"net"
)

// Dialer opens connections, as net.Dialer does. The connections must be those of the operating
// system: they must have a SyscallConn method.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// DialFunc opens a connection to one server.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Paths chooses how servers are reached.
type Paths interface {
	// Connect opens a connection to the server with the given key. The context bounds all of it;
	// direct dials the server's own address.
	// The error wraps ErrNoPath if the server may accept connections on another path.
	Connect(ctx context.Context, key string, direct DialFunc) (net.Conn, error)
	// Check is Connect to find out whether the server accepts connections.
	Check(ctx context.Context, key string, direct DialFunc) (net.Conn, error)
	// Usable reports whether an idle connection may carry another request.
	Usable(key string, conn net.Conn) bool
	// RecordAnswer is called with each connection that delivered the head of an answer.
	RecordAnswer(key string, conn net.Conn)
}

// directPath connects directly.
type directPath struct{}

func (directPath) Connect(ctx context.Context, _ string, direct DialFunc) (net.Conn, error) {
	return direct(ctx)
}

func (directPath) Check(ctx context.Context, _ string, direct DialFunc) (net.Conn, error) {
	return direct(ctx)
}

func (directPath) Usable(string, net.Conn) bool { return true }

func (directPath) RecordAnswer(string, net.Conn) {}

func (c *Client) paths() Paths {
	if c.Paths == nil {
		return directPath{}
	}
	return c.Paths
}
