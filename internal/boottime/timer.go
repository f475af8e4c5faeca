package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// timer is a timer that a suspension brings forward.
type timer struct {
	clock *Clock
	fire  func()
	c     chan time.Time

	mu    sync.Mutex
	inner clockwork.Timer
	// remaining is the time until it expires, as of set on the monotonic clock.
	remaining   time.Duration
	remainingAt time.Time
}

// NewTimer returns a timer that sends the time after d.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{clock: c, c: make(chan time.Time, 1)}
	t.fire = t.send
	t.start(d)
	return t
}

// AfterFunc calls f in its own goroutine after d.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, fire: f}
	t.start(d)
	return t
}

// After returns a channel that receives the time after d.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// Sleep returns after d.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

// NewTicker returns a ticker of the monotonic clock.
func (c *Clock) NewTicker(d time.Duration) clockwork.Ticker { return c.steady.NewTicker(d) }

// send never blocks: the channel keeps one time that wasn't received yet.
func (t *timer) send() {
	select {
	case t.c <- t.clock.Now():
	default:
	}
}

func (t *timer) start(d time.Duration) {
	// A suspension that wasn't detected yet must not count for this timer.
	t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.mu.Lock()
	t.clock.timers[t] = struct{}{}
	t.clock.mu.Unlock()
	t.remaining, t.remainingAt = d, t.clock.steady.Now()
	if t.inner == nil {
		t.inner = t.clock.steady.AfterFunc(d, t.expire)
		return
	}
	t.inner.Reset(d)
}

// expire is called when the time has passed.
func (t *timer) expire() {
	t.unregister()
	t.fire()
}

// unregister removes the timer from the clock's timers.
func (t *timer) unregister() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
}

// bringForward makes the timer expire earlier by a suspension.
func (t *timer) bringForward(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inner.Stop() {
		return
	}
	now := t.clock.steady.Now()
	t.remaining -= now.Sub(t.remainingAt) + by
	t.remainingAt = now
	t.inner.Reset(max(0, t.remaining))
}

// Chan returns the channel of a timer without a function.
func (t *timer) Chan() <-chan time.Time { return t.c }

// Stop prevents the timer from firing, and reports whether it did so.
func (t *timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stop()
}

// stop is Stop with the lock held. It also takes back a time that wasn't received yet.
func (t *timer) stop() bool {
	t.unregister()
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

// Reset makes the timer fire after d from now, and reports whether it was running.
func (t *timer) Reset(d time.Duration) bool {
	t.mu.Lock()
	stopped := t.stop()
	t.mu.Unlock()
	t.start(d)
	return stopped
}
