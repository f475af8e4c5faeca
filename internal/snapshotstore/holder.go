// Package snapshotstore holds the current fleet snapshot of a process.
//
// Readers get it with one atomic load and use it for their whole request.
// Invariant: the current version never decreases.
package snapshotstore

import (
	"sync"
	"sync/atomic"

	"github.com/dalebend/dalebend/internal/fleet"
)

// Holder holds the current snapshot. The zero value holds none.
type Holder struct {
	mu          sync.Mutex
	current     atomic.Pointer[fleet.Snapshot]
	subscribers []func(*fleet.Snapshot)
}

// Current returns the current snapshot, or nil before the first Offer.
func (h *Holder) Current() *fleet.Snapshot { return h.current.Load() }

// Subscribe calls notify with the current snapshot, if any, and each newer one, in order.
func (h *Holder) Subscribe(notify func(*fleet.Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if s := h.current.Load(); s != nil {
		notify(s)
	}
}

// Offer makes s the current snapshot if its version is higher, and reports whether it did.
func (h *Holder) Offer(s *fleet.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && s.Version() <= old.Version() {
		return false
	}
	h.current.Store(s)
	for _, notify := range h.subscribers {
		notify(s)
	}
	return true
}
