package serverlimit

import "time"

const (
	// yieldFor is how long after a refusal less urgent requests of the same service leave permits
	// to others: at limits of a few requests a second, the time until the next permits.
	yieldFor = time.Second
	// maxYielded is how many consecutive permits a less urgent request leaves to more urgent ones,
	// so that it gets one in four and does not starve.
	maxYielded = 3
)

// shortage is a shortage of permits for a service.
type shortage struct {
	// priority is that of the most urgent refused request, and until when it counts.
	priority int
	until    time.Time
}

// Accepts reports whether this box may send a request of this priority, 0 the most urgent, to a
// server of a service now.
func (b *Tracker) Accepts(server, service string, priority int) bool {
	if b == nil || b.known.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits[server]
	if l == nil || !l.inForce() {
		return true
	}
	now := b.Clock.Now()
	l.service = service
	b.updateShare(l, now)
	return l.hasPermit(now) && (l.yielded >= maxYielded || !b.yields(service, priority, now))
}

// yields reports whether a request must leave permits to more urgent ones. The lock must be held.
func (b *Tracker) yields(service string, priority int, now time.Time) bool {
	s := b.shortages[service]
	return priority > s.priority && now.Before(s.until)
}

// IsLimited reports whether a server has a limit in force.
func (b *Tracker) IsLimited(server string) bool {
	if b == nil || b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits[server]
	return l != nil && l.inForce()
}

// Reserve uses a permit for a request of this priority that is assigned to a server. Requests that
// cannot be held back, such as continuing streams, use one as well, so that fewer others follow.
func (b *Tracker) Reserve(server string, priority int) {
	if b == nil || b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.limits[server]
	if l == nil || !l.inForce() || l.permits == nil {
		return
	}
	now := b.Clock.Now()
	l.permits.ReserveN(now, 1)
	l.yielded++
	if b.yields(l.service, priority, now) {
		l.yielded = 0
	}
}

// hasPermit reports whether a permit is available now.
func (l *limit) hasPermit(now time.Time) bool {
	return l.share.perSecond > 0 && l.permits.TokensAt(now) >= 1
}

// untilPermit returns the time until a permit is available; ok is false if this box has no share.
func (l *limit) untilPermit(now time.Time) (wait time.Duration, ok bool) {
	if l.permits == nil || l.share.perSecond <= 0 {
		return 0, false
	}
	lacks := max(0, 1-l.permits.TokensAt(now))
	return time.Duration(lacks / l.share.perSecond * float64(time.Second)), true
}
