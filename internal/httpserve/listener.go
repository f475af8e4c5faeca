package httpserve

import (
	"net"
	"sync"
)

// Listener knows the connections that it accepted and can cut them all. Get one from
// NewListener.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// conn is a connection that its listener forgets when it is closed.
type conn struct {
	*net.TCPConn

	from *Listener
}

// NewListener returns a listener around a TCP one.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, open: make(map[net.Conn]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp, from: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Close forgets the connection and closes it.
func (c *conn) Close() error {
	c.from.mu.Lock()
	delete(c.from.open, c)
	c.from.mu.Unlock()
	return c.TCPConn.Close()
}

// Cut closes every open connection, as a box that dies does, and returns how many.
func (l *Listener) Cut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		// The wrapped connection: closing c would ask for the lock again.
		_ = c.(*conn).TCPConn.Close()
	}
	return len(l.open)
}
