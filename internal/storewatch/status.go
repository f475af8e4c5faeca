package storewatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/staleness"
)

// Status reports whether the store is reachable.
type Status struct {
	// Reachable is set while every call is answered. It is not set before the first answer or while
	// the watcher is inactive.
	Reachable bool
	// LastContact is the time until which all changes of each kind of state are known, by answers of the
	// store, zero before the first.
	LastContact time.Time
	// ReachableSince is the time of the first answer after the last failure or inactive period,
	// zero before the first. An unanswered watch is not a failure if the next call is answered.
	ReachableSince time.Time
	// LastFailure is the time of the last failed call, zero before the first.
	LastFailure time.Time
}

// contact keeps the status, and logs when the store is lost and regained.
type contact struct {
	clock   clockwork.Clock
	logger  *slog.Logger
	beliefs staleness.Source

	status atomic.Pointer[Status]
	// mu is held to change the status.
	mu sync.Mutex
	// failedAt is the time of the first failure since the last answer, or zero.
	failedAt time.Time
	// doubtful is set from an unanswered watch until the next call.
	doubtful bool
}

func (c *contact) load() Status {
	if s := c.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// markContact records a contact.
func (c *contact) markContact(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	if at.After(s.LastContact) {
		s.LastContact = at
		c.status.Store(&s)
	}
}

// markReachable records an answer.
func (c *contact) markReachable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.reached(c.clock.Now())
	c.status.Store(&s)
}

// reached returns the status after an answer, but for LastContact. The lock must be held.
func (c *contact) reached(now time.Time) Status {
	s := c.load()
	if !s.Reachable && !c.doubtful {
		s.ReachableSince = now
	}
	c.doubtful = false
	if !c.failedAt.IsZero() {
		c.log(event.StoreRegained, now.Sub(c.failedAt))
	}
	c.failedAt = time.Time{}
	s.Reachable = true
	return s
}

// markDoubtful records an unanswered watch.
func (c *contact) markDoubtful() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	c.doubtful = c.doubtful || s.Reachable
	s.Reachable = false
	c.status.Store(&s)
}

// markLost records a failed call.
func (c *contact) markLost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	c.doubtful = false
	s.Reachable = false
	s.LastFailure = c.clock.Now()
	if c.failedAt.IsZero() {
		c.failedAt = s.LastFailure
		c.log(event.StoreLost, c.sinceLastContact(s), slog.String(event.KeyCause, err.Error()))
	}
	c.status.Store(&s)
}

// log writes one line of the decision log: how long the store was away, and what this box knows
// meanwhile.
func (c *contact) log(name event.Name, away time.Duration, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int64(event.KeyAway, away.Milliseconds()))
	attrs = c.beliefs.Append(attrs)
	c.logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

// sinceLastContact returns the time since the last answer, 0 if there was none.
func (c *contact) sinceLastContact(s Status) time.Duration {
	if s.LastContact.IsZero() {
		return 0
	}
	return c.clock.Since(s.LastContact)
}

// markInactive records that no more calls are made.
func (c *contact) markInactive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	c.doubtful = false
	s.Reachable = false
	c.status.Store(&s)
}
