package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeoutMS is the time in milliseconds that sent bytes may remain
	// unacknowledged. It is several round trips with a retransmission between
	// zones, and below the second and a half after which callers look for another server.
	userTimeoutMS = 1500
	// keepAliveIdle and keepAliveInterval time the probes on a silent connection.
	// A second is the shortest that the kernel takes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of lost probes that end a connection.
	keepAliveCount = 3
)

// dial opens a connection. The timeout is taken from the client's clock; the
// deadline of ctx is hidden from the dialer, which would compare it with its own.
func (c *Client) dial(ctx context.Context, addr string) (*net.TCPConn, error) {
	bounded, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { cancel(contextError(ctx)) })
	defer stop()
	timer := c.Clock.AfterFunc(c.DialTimeout, func() { cancel(errDialTimeout) })
	defer timer.Stop()

	nc, err := c.dialer().DialContext(bounded, "tcp", addr)
	if cause := context.Cause(bounded); err != nil && cause != nil {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	return nc.(*net.TCPConn), nil
}

func (c *Client) dialer() *net.Dialer {
	return &net.Dialer{
		Control: c.setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// setUserTimeout makes the kernel give up on a peer that acknowledges nothing. The
// connection works without it, so a failure is only logged.
func (c *Client) setUserTimeout(_, addr string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
	})
	if set != nil {
		c.log().Warn("dead peers are noticed late: no user timeout on a connection", "server", addr, "err", set)
	}
	return err
}
