package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// timer is a timer that knows when it is due, so that a suspension brings it forward.
type timer struct {
	clock *Clock
	fire  func()
	c     chan time.Time

	mu    sync.Mutex
	inner clockwork.Timer
	// left is the time until it is due, as it was at set by the steady clock.
	left time.Duration
	set  time.Time
}

// NewTimer returns a timer that sends the time when d has passed.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{clock: c, c: make(chan time.Time, 1)}
	t.fire = t.send
	t.start(d)
	return t
}

// AfterFunc calls f in a goroutine of its own when d has passed.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, fire: f}
	t.start(d)
	return t
}

// After returns a channel that gets the time when d has passed.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep returns when d has passed.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

// NewTicker returns a ticker of the steady clock.
func (c *Clock) NewTicker(d time.Duration) clockwork.Ticker { return c.steady.NewTicker(d) }

// send never blocks: who does not take a time has one waiting.
func (t *timer) send() {
	select {
	case t.c <- t.clock.Now():
	default:
	}
}

func (t *timer) start(d time.Duration) {
	// A suspension that nobody has noticed yet must not count for this timer.
	t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.mu.Lock()
	t.clock.timers[t] = struct{}{}
	t.clock.mu.Unlock()
	t.left, t.set = d, t.clock.steady.Now()
	if t.inner == nil {
		t.inner = t.clock.steady.AfterFunc(d, t.due)
		return
	}
	t.inner.Reset(d)
}

// due is called when the time has passed.
func (t *timer) due() {
	t.forget()
	t.fire()
}

// forget takes the timer out of the clock's.
func (t *timer) forget() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
}

// sooner brings the timer forward by a suspension.
func (t *timer) sooner(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inner.Stop() {
		return
	}
	now := t.clock.steady.Now()
	t.left -= now.Sub(t.set) + by
	t.set = now
	t.inner.Reset(max(0, t.left))
}

// Chan returns the channel of a timer without a function.
func (t *timer) Chan() <-chan time.Time { return t.c }

// Stop keeps the timer from firing, and reports whether it did.
func (t *timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stop()
}

// stop is Stop with the lock held. A time that nobody has taken yet is taken back.
func (t *timer) stop() bool {
	t.forget()
	stopped := t.inner.Stop()
	if t.c != nil {
		select {
		case <-t.c:
			stopped = true
		default:
		}
	}
	return stopped
}

// Reset has the timer fire when d has passed from now, and reports whether it had been running.
func (t *timer) Reset(d time.Duration) bool {
	t.mu.Lock()
	stopped := t.stop()
	t.mu.Unlock()
	t.start(d)
	return stopped
}
