package controlrun

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes on connections, both ways.
type traffic struct{ bytes atomic.Int64 }

// listener accepts connections whose bytes are counted, and which can be stalled:
// they stay open and carry nothing.
type listener struct {
	net.Listener

	traffic *traffic
	stalled atomic.Bool
}

// conn is one such connection.
type conn struct {
	net.Conn

	listener *listener
	closed   chan struct{}
	once     atomic.Bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l, closed: make(chan struct{})}, nil
}

// Read counts what comes in; on a stalled link nothing does.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.traffic.bytes.Add(int64(n))
	if c.listener.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write counts what goes out; on a stalled link it hangs.
func (c *conn) Write(p []byte) (int, error) {
	if c.listener.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.listener.traffic.bytes.Add(int64(n))
	return n, err
}

// Close ends the connection.
func (c *conn) Close() error {
	if !c.once.Swap(true) {
		close(c.closed)
	}
	return c.Conn.Close()
}
