package history

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Recorder collects a history while it happens. Get one from NewRecorder.
type Recorder struct {
	clock clockwork.Clock
	began time.Time

	mu   sync.Mutex
	kept History
}

// NewRecorder returns a recorder of a run that begins now.
func NewRecorder(clock clockwork.Clock) *Recorder {
	return &Recorder{clock: clock, began: clock.Now()}
}

// Now returns the time since the run began.
func (r *Recorder) Now() time.Duration { return r.clock.Since(r.began) }

// Add changes the history under the recorder's lock, such as by an append.
func (r *Recorder) Add(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.kept)
}

// Trouble adds a trouble that begins now, and returns what ends it.
func (r *Recorder) Trouble(kind Kind, scope Scope, target string) (end func()) {
	at := 0
	r.Add(func(h *History) {
		at = len(h.Troubles)
		h.Troubles = append(h.Troubles, Trouble{Kind: kind, Scope: scope, Target: target, From: r.Now(), To: -1})
	})
	return sync.OnceFunc(func() { r.Add(func(h *History) { h.Troubles[at].To = r.Now() }) })
}

// Held adds a time in which the soak was held up.
func (r *Recorder) Held(d time.Duration) {
	now := r.Now()
	r.Add(func(h *History) {
		h.Troubles = append(h.Troubles, Trouble{Kind: Held, Scope: OnAll, From: now - d, To: now})
	})
}

// Calm notes that all faults are over.
func (r *Recorder) Calm() { r.Add(func(h *History) { h.Phase.Calm = r.Now() }) }

// ServedSince counts the requests sent after a time that have ended, and those of them
// that were served. Requests are in the order of their ends, so it looks from the last.
func (r *Recorder) ServedSince(from time.Duration) (served, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.kept.Requests) - 1; i >= 0 && r.kept.Requests[i].Done > from; i-- {
		q := &r.kept.Requests[i]
		if q.Sent <= from {
			continue
		}
		all++
		if q.Served() {
			served++
		}
	}
	return served, all
}

// Quiet notes that callers have ended.
func (r *Recorder) Quiet() { r.Add(func(h *History) { h.Phase.End = r.Now() }) }

// End returns the history. Troubles without an end end with the callers.
func (r *Recorder) End() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.kept.Troubles {
		if t := &r.kept.Troubles[i]; t.To < 0 {
			t.To = r.kept.Phase.End
		}
	}
	h := r.kept
	// Troubles that end later must not change what is being looked at.
	h.Troubles = slices.Clone(h.Troubles)
	return &h
}
