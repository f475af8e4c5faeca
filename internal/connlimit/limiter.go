// Package connlimit bounds what clients can make a process hold before it knows what they want: connections, and heads
// of messages.
//
// At a bound the connection whose next head is awaited for longest is closed, then the one that has been idle for
// longest. A common head arrives whole within milliseconds, so that this strikes clients that don't finish theirs.
// A connection whose message is being handled is never closed, as the message may have been passed on. If there are
// only such, a new connection waits a moment for one of them to end.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/headcost"
)

// maxAcceptWait is how long a connection waits for one of those in use to end. Its client may then try elsewhere.
const maxAcceptWait = 100 * time.Millisecond

// Reason is why a connection was closed for others.
type Reason string

// Reasons why connections are closed.
const (
	// TooMany: there were MaxConns connections.
	TooMany Reason = "connections"
	// HeadsTooLarge: the heads of all connections took more than MaxHeadBytes.
	HeadsTooLarge Reason = "heads"
)

// Limiter bounds the connections of one port. Set the exported fields before use. A nil Limiter bounds nothing.
type Limiter struct {
	Clock clockwork.Clock
	// MaxConns bounds the open connections; 0 is no bound.
	MaxConns int
	// MaxHeadBytes bounds what the heads of all connections take in memory once parsed, beyond headcost.Free each;
	// 0 is no bound.
	MaxHeadBytes int64
	// OnClose, if set, is called for each connection that is closed for others. It must not block.
	OnClose func(reason Reason)

	mu    sync.Mutex
	open  int
	heads int64
	// waiting holds the connections whose next head is awaited, idle those between two messages, each by the time
	// since when.
	waiting, idle list.List
	// ended, if a connection waits for it, is closed when a message has been handled or a connection has closed.
	ended chan struct{}
}

// Listen returns a listener whose connections are bounded. It accepts TCP connections only as *Conn.
func (l *Limiter) Listen(ln net.Listener) net.Listener {
	if l == nil {
		return ln
	}
	return &listener{Listener: ln, limiter: l}
}

type listener struct {
	net.Listener

	limiter *Limiter
}

// Accept waits for the next connection that there is room for.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		if c := ln.limiter.await(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close() // nothing was sent
	}
}

// await returns the connection once there is room for it, or nil if there is none for maxAcceptWait.
func (l *Limiter) await(tcp *net.TCPConn) *Conn {
	c, ended := l.admit(tcp)
	if c != nil {
		return c
	}
	timer := l.Clock.NewTimer(maxAcceptWait)
	defer timer.Stop()
	for c == nil {
		select {
		case <-ended:
			c, ended = l.admit(tcp)
		case <-timer.Chan():
			l.report(TooMany)
			return nil
		}
	}
	return c
}

// admit returns the connection, or if there is no room for it and none can be made, a channel that is closed when that
// may have changed.
func (l *Limiter) admit(tcp *net.TCPConn) (*Conn, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.MaxConns > 0 && l.open >= l.MaxConns {
		longest := l.waiting.Front()
		if longest == nil {
			longest = l.idle.Front()
		}
		if longest == nil {
			if l.ended == nil {
				l.ended = make(chan struct{})
			}
			return nil, l.ended
		}
		l.evict(longest.Value.(*Conn), TooMany)
	}
	c := &Conn{TCPConn: tcp, limiter: l, phase: waiting}
	l.open++
	c.place = l.waiting.PushBack(c)
	return c, nil
}

// evict closes a connection. The lock must be held.
func (l *Limiter) evict(c *Conn, reason Reason) {
	l.remove(c)
	_ = c.TCPConn.Close() // whatever was sent is lost with it
	l.report(reason)
}

func (l *Limiter) report(reason Reason) {
	if l.OnClose != nil {
		l.OnClose(reason)
	}
}

// remove ends the counts of a connection, unless they have ended. The lock must be held.
func (l *Limiter) remove(c *Conn) {
	if c.phase == closed {
		return
	}
	l.move(c, closed)
	l.charge(c, 0)
	l.open--
	l.signalEnded()
}

// signalEnded wakes what waits for a connection to end. The lock must be held.
func (l *Limiter) signalEnded() {
	if l.ended != nil {
		close(l.ended)
		l.ended = nil
	}
}

// move moves a connection to the end of the list of a phase. The lock must be held.
func (l *Limiter) move(c *Conn, to phase) {
	if from := l.list(c.phase); from != nil {
		from.Remove(c.place)
		c.place = nil
	}
	c.phase = to
	if in := l.list(to); in != nil {
		c.place = in.PushBack(c)
	}
}

// list returns the list of a phase, nil if it has none.
func (l *Limiter) list(p phase) *list.List {
	switch p {
	case waiting:
		return &l.waiting
	case idle, uncounted:
		return &l.idle
	default:
		return nil
	}
}

// count counts a piece of the head that a connection awaits, and reports whether the connection is still open. The
// connections with counted heads that have waited for longest are closed for it.
func (l *Limiter) count(c *Conn, piece []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.phase {
	case closed:
		return false
	case busy, uncounted:
		return true
	case idle:
		l.move(c, waiting)
	default:
	}
	l.charge(c, c.cost+headcost.Of(piece))
	for l.overHeads() && c.charged > 0 {
		l.evict(l.longestCounted(), HeadsTooLarge)
	}
	return c.phase != closed
}

// overHeads reports whether the heads take more than they may. The lock must be held.
func (l *Limiter) overHeads() bool { return l.MaxHeadBytes > 0 && l.heads > l.MaxHeadBytes }

// longestCounted returns the connection that has waited for longest of those whose heads count. There must be one.
func (l *Limiter) longestCounted() *Conn {
	for e := l.waiting.Front(); ; e = e.Next() {
		if c := e.Value.(*Conn); c.charged > 0 {
			return c
		}
	}
}

// charge replaces the cost of the head of a connection. The lock must be held.
func (l *Limiter) charge(c *Conn, cost int64) {
	c.cost = cost
	charged := max(0, cost-headcost.Free)
	l.heads += charged - c.charged
	c.charged = charged
}
