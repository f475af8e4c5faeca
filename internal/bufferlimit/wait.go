package bufferlimit

import (
	"context"
	"time"
)

// reservation is a wait for capacity.
type reservation struct {
	// need is what must fit, add the part of it that is then counted.
	need, add int64
	// unread is what a server holds meanwhile.
	unread  int64
	timeout time.Duration
}

// reserve waits for capacity. If there is some, it takes the lock once.
func (h *Connection) reserve(ctx context.Context, w reservation) error {
	if bound, err := h.tryReserve(w); bound == "" {
		return err
	}
	h.addUnread(w.unread)
	defer h.addUnread(-w.unread)
	timer := h.accounting.Clock.NewTimer(w.timeout)
	defer timer.Stop()
	ticker := h.accounting.Clock.NewTicker(slowCheckInterval)
	defer ticker.Stop()
	for {
		changed, bound, err := h.retryReserve(w)
		if bound == "" {
			return err
		}
		select {
		case <-changed:
		case <-ticker.Chan():
		case <-timer.Chan():
			return h.noCapacityError(bound)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryReserve counts the bytes if there is capacity, or returns the bound that they exceed.
func (h *Connection) tryReserve(w reservation) (Bound, error) {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped != nil {
		return "", h.dropped
	}
	bound := b.exceededBound(h, w.need)
	if bound == "" {
		b.add(h, w.add)
	}
	return bound, nil
}

// retryReserve tries again and drops slow connections if that helps. The wait is over if it returns
// no bound.
func (h *Connection) retryReserve(w reservation) (changed <-chan struct{}, bound Bound, err error) {
	b := h.accounting
	changed = b.freedChannel()
	if bound, err = h.tryReserve(w); bound == "" {
		return nil, "", err
	}
	b.mu.Lock()
	dropped := b.dropSlowest(h, bound, w.need)
	if dropped == nil && b.serversOverLimit() {
		dropped = b.dropSlowest(h, BoundServers, 0)
	}
	full := dropped == nil && b.serversOverLimit()
	b.mu.Unlock()
	if dropped != nil {
		dropped.abort()
	}
	switch {
	case dropped == h:
		return nil, "", h.Err()
	case full:
		return nil, "", h.noCapacityError(BoundServers)
	default:
		return changed, bound, nil
	}
}

// addUnread counts what servers hold while an answer isn't read on.
func (h *Connection) addUnread(unread int64) {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped != nil {
		return
	}
	h.unreadAtServers += unread
	b.unreadAtServers += unread
}

// noCapacityError returns the error of a connection that got no capacity, as no other was dropped
// in time.
func (h *Connection) noCapacityError(bound Bound) error {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped != nil {
		return h.dropped
	}
	return h.slowCallerError(bound, b.Clock.Now())
}
