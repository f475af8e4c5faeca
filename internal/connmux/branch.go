package connmux

import (
	"net"
	"sync"
)

// branch is a listener of connections that another listener accepted.
type branch struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newBranch(addr net.Addr) *branch {
	return &branch{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver hands a connection to Accept, or closes it if the listener is closed.
func (b *branch) deliver(conn net.Conn) {
	select {
	case b.conns <- conn:
	case <-b.closed:
		_ = conn.Close() // its peer gets no answer
	}
}

// Accept implements net.Listener.
func (b *branch) Accept() (net.Conn, error) {
	select {
	case conn := <-b.conns:
		return conn, nil
	case <-b.closed:
		return nil, &net.OpError{Op: "accept", Net: b.addr.Network(), Addr: b.addr, Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (b *branch) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Addr implements net.Listener.
func (b *branch) Addr() net.Addr { return b.addr }
