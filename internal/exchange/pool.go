package exchange

import (
	"net"
	"time"
)

// pool holds the connections to one server instance. The client's mutex guards it.
type pool struct {
	key     string
	open    int     // connections being dialed, in use or idle
	idle    []*conn // in order of last use, the most recent at the end
	retired bool    // the server is no longer known
}

// take removes the most recently used idle connection that may carry a request, and
// closes those that may not. It returns nil if there is none.
func (p *pool) take(fresh time.Duration, now time.Time, usable func(key string, conn net.Conn) bool) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.expires.After(now) && !conn.idleLessThan(fresh, now) {
			return nil // the remaining ones have been idle for longer
		}
		p.removeIdle(i)
		if conn.expires.After(now) && usable(p.key, conn.nc) && conn.reusable() {
			return conn
		}
		p.discard(conn)
	}
	return nil
}

// reserve counts a connection that is about to be dialed. At the limit it first closes the oldest
// idle connection, and reports false if there is none.
func (p *pool) reserve(limit int) bool {
	if limit > 0 && p.open >= limit && !p.dropOldest() {
		return false
	}
	p.open++
	return true
}

// putIdle adds an idle connection and keeps at most limit of them.
func (p *pool) putIdle(c *conn, limit int) {
	p.idle = append(p.idle, c)
	for len(p.idle) > limit {
		p.dropOldest()
	}
}

// expire closes the idle connections that have expired or are not usable any more.
func (p *pool) expire(now time.Time, usable func(key string, conn net.Conn) bool) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; !conn.expires.After(now) || !usable(p.key, conn.nc) {
			p.removeIdle(i)
			p.discard(conn)
		}
	}
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	for p.dropOldest() {
	}
}

// dropOldest closes the connection that was idle longest, if there is one.
func (p *pool) dropOldest() bool {
	if len(p.idle) == 0 {
		return false
	}
	conn := p.idle[0]
	p.removeIdle(0)
	p.discard(conn)
	return true
}

func (p *pool) removeIdle(i int) {
	copy(p.idle[i:], p.idle[i+1:])
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
}

// discard closes a connection that was removed from the idle list.
func (p *pool) discard(c *conn) {
	c.close()
	p.open--
}
