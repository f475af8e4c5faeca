package holdoff

import (
	"fmt"
	"time"
)

// Accepts reports whether this box may send a server a new request now.
func (b *Tracker) Accepts(server string) bool {
	if b == nil {
		return true
	}
	p := b.get(server)
	return p == nil || p.accepts(b.Clock.Now())
}

// Elapsed reports whether the server's hold-off has elapsed, or there is none.
func (b *Tracker) Elapsed(server string) bool {
	if b == nil {
		return true
	}
	p := b.get(server)
	return p == nil || p.elapsed(b.Clock.Now())
}

// Reserve records that a new request is assigned to a server. If the server has not answered since
// it asked to hold off, the next request waits for probeInterval.
func (b *Tracker) Reserve(server string) {
	if b == nil {
		return
	}
	if p := b.get(server); p != nil {
		p.delayUntil(b.Clock.Now().Add(probeInterval))
	}
}

// CanContinue reports whether a stream may continue on a server that has its memory, and counts it
// if the server is under a hold-off.
func (b *Tracker) CanContinue(server string) bool {
	if b == nil {
		return true
	}
	p := b.get(server)
	return p == nil || p.tryContinue(b.Clock.Now())
}

// Remaining returns the time until this box may send a server a new request; ok is false if it need
// not wait.
func (b *Tracker) Remaining(server string) (left time.Duration, ok bool) {
	if b == nil {
		return 0, false
	}
	p := b.get(server)
	if p == nil {
		return 0, false
	}
	left = p.remaining(b.Clock.Now())
	return left, left > 0
}

// retrySpread is the time over which refused callers spread their retries after the first server
// accepts requests again: about a third of the time limit of users' shortest routes.
const retrySpread = 500 * time.Millisecond

// RetryAfter returns when a caller should retry if no server accepts a request before the given
// time has passed.
func (b *Tracker) RetryAfter(left time.Duration) time.Duration {
	return left + time.Duration(b.Draw()*float64(retrySpread))
}

// Describe returns a text that names the server, the duration that it asked for and when; empty if
// there is no hold-off.
func (b *Tracker) Describe(server string) string {
	if b == nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(server)
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%s asked this box %v ago to hold off for %v", server, b.Clock.Since(p.reportedAt).Round(time.Millisecond), p.requested)
}
