package serverlimit

import (
	"fmt"
	"strings"
	"time"
)

const (
	// retrySpread is the time over which refused callers spread their retries: about a third of the
	// time limit of users' shortest routes, after which callers give up.
	retrySpread = 500 * time.Millisecond
	// maxNamed bounds the servers that a refusal names.
	maxNamed = 3
)

// LimitError means that all servers that a request may use are at their limits. The request has not
// run.
type LimitError struct {
	// Limits describes the limits, at most maxNamed of them.
	Limits []string
	// More is the number of further servers.
	More int
	// RetryAfter is when to retry.
	RetryAfter time.Duration
}

// Error lists the limits, for the caller and the log.
func (e *LimitError) Error() string {
	text := "servers take no more requests: " + strings.Join(e.Limits, "; ")
	if e.More > 0 {
		text += fmt.Sprintf("; and %d more", e.More)
	}
	return text
}

// Refuse returns the error for a request of this priority that none of the given servers accepts
// because of their limits; nil if none of them has a limit in force.
func (b *Tracker) Refuse(service string, servers []string, priority int) *LimitError {
	if b == nil || b.known.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var limiting []*limit
	for _, server := range servers {
		if l := b.limits[server]; l != nil && l.inForce() {
			limiting = append(limiting, l)
		}
	}
	if len(limiting) == 0 {
		return nil
	}
	b.recordShortage(service, priority, now)
	r := &LimitError{RetryAfter: b.retryAfter(service, limiting, now)}
	for i, l := range limiting {
		if i == maxNamed {
			r.More = len(limiting) - maxNamed
			break
		}
		r.Limits = append(r.Limits, l.describe(now))
	}
	return r
}

// recordShortage records that a request was refused for lack of a permit. The lock must be held.
func (b *Tracker) recordShortage(service string, priority int, now time.Time) {
	if b.shortages == nil {
		b.shortages = make(map[string]shortage)
	}
	if s := b.shortages[service]; priority <= s.priority || !now.Before(s.until) {
		b.shortages[service] = shortage{priority: priority, until: now.Add(yieldFor)}
	}
}

// retryAfter returns when a refused caller should retry: not before this box's next permit, and
// spaced from earlier refused callers at the sum of the limits. The lock must be held.
func (b *Tracker) retryAfter(service string, limits []*limit, now time.Time) time.Duration {
	soonest := retrySpread
	taken := 0.0
	boxes := 1
	for _, l := range limits {
		taken += max(l.perSecond, minRate)
		boxes = max(boxes, l.share.boxes)
		if wait, ok := l.untilPermit(now); ok {
			soonest = min(soonest, wait)
		}
	}
	if b.lastRetryAt == nil {
		b.lastRetryAt = make(map[string]time.Time)
	}
	apart := time.Duration(float64(boxes) / taken * float64(time.Second))
	at := b.lastRetryAt[service].Add(apart)
	if at.Before(now.Add(soonest)) || at.After(now.Add(soonest+retrySpread)) {
		at = now.Add(soonest)
	}
	b.lastRetryAt[service] = at
	return at.Sub(now)
}

// describe returns a text with the limit, its source and age, and this box's share.
func (l *limit) describe(now time.Time) string {
	return fmt.Sprintf("%s takes %.3g a second, as %s said %v ago; the share of this box is %.3g of %d boxes'",
		l.server, l.perSecond, l.source, now.Sub(l.named).Round(time.Millisecond), l.share.perSecond, l.share.boxes)
}
