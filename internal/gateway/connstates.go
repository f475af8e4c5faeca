package gateway

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connStates knows which caller connections have a request that is not answered
// to its last byte. A connection without one may be closed at any time.
type connStates struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
	none   func()
}

// note hears of each change from the HTTP library.
func (c *connStates) note(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[net.Conn]struct{})
	}
	if state == fasthttp.StateActive {
		c.active[conn] = struct{}{}
		return
	}
	delete(c.active, conn)
	if len(c.active) == 0 && c.none != nil {
		c.none()
	}
}

// whenNoneActive calls none once no connection has such a request, maybe at once,
// and again whenever that comes true anew.
func (c *connStates) whenNoneActive(none func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.none = none
	if len(c.active) == 0 {
		none()
	}
}
