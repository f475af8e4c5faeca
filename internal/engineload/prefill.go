package engineload

import "time"

// maxPendingPrefillAge bounds the age of the cached sums. Prefill takes some hundred milliseconds,
// and the sums are needed for every event of every stream.
const maxPendingPrefillAge = 10 * time.Millisecond

// pendingPrefill holds the pending prompt tokens of each engine at one moment.
type pendingPrefill struct {
	at     time.Time
	tokens map[string]int
}

// PendingPrefill returns the number of pending prompt tokens on an engine, at most
// maxPendingPrefillAge old. It hardly ever takes the lock.
func (l *Tracker) PendingPrefill(server string, now time.Time) int {
	u := l.pendingPrefill.Load()
	if u == nil || now.Sub(u.at) > maxPendingPrefillAge || now.Before(u.at) {
		u = l.sumPendingPrefill(now)
		l.pendingPrefill.Store(u)
	}
	return u.tokens[server]
}

func (l *Tracker) sumPendingPrefill(now time.Time) *pendingPrefill {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := &pendingPrefill{at: now, tokens: make(map[string]int)}
	for server, sum := range l.peerSums {
		if sum.PendingPrefill > 0 {
			u.tokens[server] = sum.PendingPrefill
		}
	}
	for r := range l.own {
		if load, _ := r.load(); load.PendingPrefill > 0 {
			u.tokens[r.server] += load.PendingPrefill
		}
	}
	return u
}
