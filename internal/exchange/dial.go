package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/tcpopt"
)

const (
	// userTimeout is how long sent bytes may remain unacknowledged. A sound server may be silent for
	// a second or so, and its connections live on. It also decides when keep-alive probes give up: at
	// the first one that is due after it.
	userTimeout = 3 * time.Second
	// uploadTimeout replaces userTimeout while a body does not fit the connection's buffers. The
	// kernel cannot tell a dead peer from one that does not read yet, and a busy server may leave a
	// body unread for seconds.
	uploadTimeout = 10 * time.Second
	// keepAliveIdle and keepAliveInterval time the keep-alive probes. A second is the shortest
	// interval that the kernel accepts.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of lost probes that end a connection, at the same time as
	// userTimeout does.
	keepAliveCount = 2
)

// dial opens a connection.
func (c *Client) dial(ctx context.Context, t Target, connect connectFunc) (net.Conn, error) {
	bounded, cancel := WithDialTimeout(ctx, c.Clock, c.DialTimeout)
	defer cancel()
	return connect(bounded, t.Key, func(ctx context.Context) (net.Conn, error) { return c.DialDirect(ctx, t.Addr) })
}

// WithDialTimeout returns a context for one dial, which ends with ErrDialTimeout by the clock. It has no
// deadline: a dialer would compare it with the system clock.
func WithDialTimeout(ctx context.Context, clock clockwork.Clock, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(contextError(ctx)) })
	timer := clock.AfterFunc(limit, func() { cancel(ErrDialTimeout) })
	return bounded, func() {
		timer.Stop()
		stop()
		cancel(nil)
	}
}

// connectFunc is a method of Paths.
type connectFunc func(ctx context.Context, key string, direct DialFunc) (net.Conn, error)

// DialDirect dials the address of a server.
func (c *Client) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := c.dialer().DialContext(ctx, "tcp", addr)
	if err == nil {
		return nc, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	return nil, err
}

func (c *Client) dialer() Dialer {
	if c.Dialer != nil {
		return c.Dialer
	}
	return &net.Dialer{
		Control: func(_, addr string, raw syscall.RawConn) error {
			c.setUserTimeout(raw, addr, userTimeout)
			return nil
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, after which the kernel drops a peer that acknowledges
// nothing. The connection works without it, so a failure is only logged.
func (c *Client) setUserTimeout(raw syscall.RawConn, addr string, limit time.Duration) {
	if err := tcpopt.SetUserTimeout(raw, limit); err != nil {
		c.log().Warn("user timeout of a connection not set", "server", addr, "ms", limit.Milliseconds(), "err", err)
	}
}
