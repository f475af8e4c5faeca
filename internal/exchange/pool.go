package exchange

import "time"

// pool holds the connections of one start of a server. The client's mutex guards it.
type pool struct {
	key     string
	open    int     // connections being dialed, in use or idle
	idle    []*conn // the most recently used last
	retired bool    // the server is no longer known
}

// take removes the most recently used idle connection that may carry a request, and
// closes those that may not. It returns nil if there is none.
func (p *pool) take(fresh time.Duration, now time.Time) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		if conn.expires.After(now) && !conn.restedAtMost(fresh, now) {
			return nil // those below rested for longer
		}
		p.removeIdle(i)
		if conn.expires.After(now) && conn.reusable() {
			return conn
		}
		p.discard(conn)
	}
	return nil
}

// reserve counts a connection about to be dialed. At the limit it closes the oldest
// idle connection instead, and reports false if there is none.
func (p *pool) reserve(limit int) bool {
	if limit > 0 && p.open >= limit && !p.dropOldest() {
		return false
	}
	p.open++
	return true
}

// rest adds an idle connection and keeps at most limit of them.
func (p *pool) rest(c *conn, limit int) {
	p.idle = append(p.idle, c)
	for len(p.idle) > limit {
		p.dropOldest()
	}
}

// expire closes the idle connections whose time is over.
func (p *pool) expire(now time.Time) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; !conn.expires.After(now) {
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

// dropOldest closes the idle connection that rested longest, if there is any.
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

// discard closes a connection that is in no list.
func (p *pool) discard(c *conn) {
	c.close()
	p.open--
}
