package storewatch

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Status says whether the store can be reached.
type Status struct {
	// Reachable is set while every call is answered. It is not set before the
	// first answer nor while the watcher is inactive.
	Reachable bool
	// LastContact is the time of the last answer, zero before the first.
	LastContact time.Time
	// ReachableSince is the time of the first answer after the last failure or
	// pause, zero before the first.
	ReachableSince time.Time
	// LastFailure is the time of the last failed call, zero before the first.
	LastFailure time.Time
}

// contact keeps the status, and logs when the store is lost and regained.
type contact struct {
	clock  clockwork.Clock
	logger *slog.Logger

	status atomic.Pointer[Status]
	// mu is held to change the status.
	mu sync.Mutex
	// failed is set from a failure until the next answer.
	failed bool
}

func (c *contact) load() Status {
	if s := c.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// answered takes note of an answer.
func (c *contact) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	s := c.load()
	if !s.Reachable {
		s.ReachableSince = now
	}
	if c.failed {
		c.logger.Info("store is reached again", slog.Duration("away", now.Sub(s.LastContact)))
	}
	c.failed = false
	s.Reachable = true
	s.LastContact = now
	c.status.Store(&s)
}

// lost takes note of a failed call.
func (c *contact) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	if !c.failed {
		c.logger.Warn("store is not reached", slog.Time("last_contact", s.LastContact), slog.Any("error", err))
	}
	c.failed = true
	s.Reachable = false
	s.LastFailure = c.clock.Now()
	c.status.Store(&s)
}

// unwatched takes note that no calls are made any more.
func (c *contact) unwatched() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.load()
	s.Reachable = false
	c.status.Store(&s)
}
