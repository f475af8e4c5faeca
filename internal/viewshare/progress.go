package viewshare

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/alarm"
)

// progressConn records when bytes arrive.
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

// callWatch closes the connection of a call that no longer receives bytes.
type callWatch struct {
	caller *caller
	client *rpc.Client
	began  time.Time
	// late is set when the call has timed out.
	late atomic.Bool

	mu    sync.Mutex
	timer clockwork.Timer
	over  bool
}

// start begins the watch.
func (w *callWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = alarm.AfterFunc(w.caller.clock, w.began.Add(callTimeout), w.check)
}

// stop ends the watch.
func (w *callWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}

// check ends the call if it has timed out, and otherwise schedules the next check.
func (w *callWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	// Bytes that arrive after the clock was read move the deadline.
	now := w.caller.clock.Now()
	if due := w.deadline(); now.Before(due) {
		w.timer = alarm.AfterFunc(w.caller.clock, due, w.check)
		return
	}
	w.late.Store(true)
	w.caller.drop(w.client)
}

// deadline returns when the call times out if no more bytes arrive.
func (w *callWatch) deadline() time.Time {
	last := w.caller.lastRead()
	if last.Before(w.began) {
		last = w.began
	}
	due, latest := last.Add(callTimeout), w.began.Add(maxCallTime)
	if latest.Before(due) {
		return latest
	}
	return due
}
