package viewshare

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/atomictime"
	"github.com/dalebend/dalebend/internal/docpatch"
	"github.com/dalebend/dalebend/internal/msglimit"
	"github.com/dalebend/dalebend/internal/tcpopt"
)

const (
	// dialTimeout covers several round trips between failure domains; a partitioned peer does not
	// answer at all.
	dialTimeout = 200 * time.Millisecond
	// callTimeout is how long a call may receive no bytes: dialTimeout plus twice the delay of a
	// busy peer that has used up its CPU quota. A document may take as long as its bytes keep
	// arriving, up to maxCallTime.
	callTimeout = 400 * time.Millisecond
	// maxCallTime bounds a call whose answer keeps arriving: one of 20,000 servers takes 1.3 s on
	// half of a 10 Mbit/s link.
	maxCallTime = 4 * time.Second
	// userTimeout is how long sent bytes may remain unacknowledged. Connections survive a lost
	// packet, but not the death of a box. It also makes one lost keep-alive probe end a connection.
	userTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount close idle connections whose peer lost
	// power within 20 s, at little cost until then.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 1
	// maxReplyBytes bounds a peer's reply, which has one document, and maxCallBytes a call.
	maxReplyBytes = 2 * docpatch.MaxDocument
	maxCallBytes  = 64 << 10
)

var (
	errDialTimeout = errors.New("dial ran out of time")
	errCallTimeout = errors.New("call ran out of time")
	errClosed      = errors.New("caller is closed")
)

// caller calls one peer over a kept connection.
type caller struct {
	addr  string
	clock clockwork.Clock
	// used is when the last call began; busy counts calls. Both are guarded by fetches.mu.
	used time.Time
	busy int

	// read is when bytes last arrived.
	read atomictime.Time

	mu     sync.Mutex
	rpc    *rpc.Client
	closed bool
}

// lastRead returns when bytes last arrived from the peer, zero if none did.
func (c *caller) lastRead() time.Time { return c.read.Load() }

// call makes one call. As net/rpc has no deadlines, a call that times out is ended by closing its
// connection.
func (c *caller) call(method string, args, reply any) error {
	client, err := c.connect()
	if err != nil {
		return fmt.Errorf("dial peer %s: %w", c.addr, err)
	}
	watch := &callWatch{caller: c, client: client, began: c.clock.Now()}
	watch.start()
	defer watch.stop()
	err = client.Call(method, args, reply)
	if err == nil {
		return nil
	}
	var answer rpc.ServerError
	if !errors.As(err, &answer) {
		c.drop(client)
	}
	if watch.late.Load() {
		err = errCallTimeout
	}
	return fmt.Errorf("call %s at %s: %w", method, c.addr, err)
}

// connect returns the kept connection, or a new one.
func (c *caller) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	if c.rpc != nil {
		return c.rpc, nil
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	timer := c.clock.AfterFunc(dialTimeout, func() { cancel(errDialTimeout) })
	defer timer.Stop()
	dialer := &net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error { return tcpopt.SetUserTimeout(raw, userTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil && context.Cause(ctx) != nil {
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, err
	}
	c.rpc = rpc.NewClient(&progressConn{Conn: msglimit.New(conn, maxReplyBytes), caller: c})
	return c.rpc, nil
}

// drop closes a connection.
func (c *caller) drop(client *rpc.Client) {
	_ = client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc == client {
		c.rpc = nil
	}
}

// close closes the connection, which ends its calls, and refuses later ones.
func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

// setUserTimeout bounds how long an accepted connection waits for a dead peer.
func setUserTimeout(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return tcpopt.SetUserTimeout(raw, userTimeout)
}
