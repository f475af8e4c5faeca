package viewshare

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// progressConn notes when bytes come.
type progressConn struct {
	net.Conn

	caller *caller
}

// Read reads from the peer.
func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.caller.read.Store(c.caller.clock.Now())
	}
	return n, err
}

// callWatch closes the connection of a call of which nothing comes any more.
type callWatch struct {
	caller *caller
	client *rpc.Client
	began  time.Time
	// late is set when the call ran out of time.
	late atomic.Bool

	mu    sync.Mutex
	timer clockwork.Timer
	over  bool
}

// start begins to watch.
func (w *callWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = w.caller.clock.AfterFunc(callTimeout, w.check)
}

// stop ends the watch.
func (w *callWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}

// check ends the call if it ran out of time, and looks again later if not.
func (w *callWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	last := w.caller.lastRead()
	if last.Before(w.began) {
		last = w.began
	}
	now := w.caller.clock.Now()
	left := min(callTimeout-now.Sub(last), longestCall-now.Sub(w.began))
	if left > 0 {
		w.timer = w.caller.clock.AfterFunc(left, w.check)
		return
	}
	w.late.Store(true)
	w.caller.drop(w.client)
}
