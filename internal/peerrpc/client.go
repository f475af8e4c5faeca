package peerrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/msglimit"
)

const (
	dialTimeout = time.Second
	// maxMessageBytes bounds a call and a reply: several times the largest value of the object API.
	maxMessageBytes = 16 << 20
)

// ErrTimeout means that the call timed out; the peer may have run it.
var ErrTimeout = errors.New("call ran out of time")

// Client calls one peer. Set the exported fields before use.
type Client struct {
	// Addr is HOST:PORT.
	Addr string
	// TLS authenticates both sides; nil means plain TCP, for loopback.
	TLS   *tls.Config
	Clock clockwork.Clock

	mu  sync.Mutex
	rpc *rpc.Client
}

// Call makes one call, limited by timeout and ctx. After it returns, nothing writes
// to reply any more.
func (c *Client) Call(ctx context.Context, method string, args, reply any, timeout time.Duration) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := c.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			c.failed(client, call.Error)
			return fmt.Errorf("call %s at %s: %w", method, c.Addr, call.Error)
		}
		return nil
	case <-timer.Chan():
		err = ErrTimeout
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	c.drop(client)
	// net/rpc may write to reply until the connection is closed.
	<-call.Done
	return fmt.Errorf("call %s at %s: %w", method, c.Addr, err)
}

// Close closes the connection; a later Call dials a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		return c.rpc, nil
	}
	d := &net.Dialer{Timeout: dialTimeout}
	var conn net.Conn
	var err error
	if c.TLS != nil {
		conn, err = tls.DialWithDialer(d, "tcp", c.Addr, c.TLS)
	} else {
		conn, err = d.Dial("tcp", c.Addr)
	}
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", c.Addr, err)
	}
	c.rpc = rpc.NewClient(msglimit.New(conn, maxMessageBytes))
	return c.rpc, nil
}

// failed drops the connection unless the peer itself returned the error.
func (c *Client) failed(client *rpc.Client, err error) {
	var answer rpc.ServerError
	if !errors.As(err, &answer) {
		c.drop(client)
	}
}

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = client.Close()
	if c.rpc == client {
		c.rpc = nil
	}
}
