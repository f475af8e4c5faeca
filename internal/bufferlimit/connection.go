package bufferlimit

import (
	"context"
	"time"
)

// Connection counts the buffered bytes of one connection. Accounting.Open returns one.
type Connection struct {
	accounting *Accounting
	abort      func()

	// The lock of accounting guards the fields below.

	// account is the client account of the connection, "" if none.
	account string
	// bytes is what is buffered.
	bytes int64
	// waitingSince is when the caller last made progress, while the box waits for it.
	waitingSince time.Time
	// unreadAtServers is what servers hold of an answer that the box doesn't read on, in bytes.
	unreadAtServers int64
	// dropped is set once the connection was dropped.
	dropped *SlowCallerError
	// closed is set by Close; after it nothing is counted.
	closed bool
}

// Assign sets the client account of the connection; "" is none.
func (h *Connection) Assign(account string) {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.account == account {
		return
	}
	leaving := int64(0)
	if h.dropped != nil {
		leaving = h.bytes
	}
	b.addClosing(h, -leaving)
	b.addToAccount(h, -h.bytes)
	h.account = account
	b.addToAccount(h, h.bytes)
	b.addClosing(h, leaving)
}

// Add counts bytes whose capacity was reserved, or which can't wait; a negative number frees some.
func (h *Connection) Add(n int) {
	h.accounting.mu.Lock()
	defer h.accounting.mu.Unlock()
	h.accounting.add(h, int64(n))
}

// StartWaiting records that the box waits for the caller from now on, to read or to send.
func (h *Connection) StartWaiting() {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped == nil && !h.closed {
		h.startWaiting()
	}
}

// startWaiting is StartWaiting with the lock held.
func (h *Connection) startWaiting() {
	b := h.accounting
	h.waitingSince = b.Clock.Now()
	if b.waiting == nil {
		b.waiting = make(map[*Connection]struct{})
	}
	b.waiting[h] = struct{}{}
}

// StopWaiting records that the box no longer waits for the caller.
func (h *Connection) StopWaiting() {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, h)
}

// AddUnsent counts bytes that the caller didn't take at once, and starts to wait for it.
func (h *Connection) AddUnsent(n int) {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.waiting[h]; !ok && !h.closed && h.dropped == nil {
		h.startWaiting()
	}
	b.add(h, int64(n))
}

// RemoveSent frees bytes that the caller has taken. With done, the box no longer waits for it.
func (h *Connection) RemoveSent(n int, done bool) {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	h.waitingSince = b.Clock.Now()
	if done {
		delete(b.waiting, h)
	}
	b.add(h, -int64(n))
}

// Err returns why the connection was dropped, or nil.
func (h *Connection) Err() error {
	h.accounting.mu.Lock()
	defer h.accounting.mu.Unlock()
	if h.dropped == nil {
		return nil
	}
	return h.dropped
}

// AddBody counts n received bytes of a request's body once there is capacity. It returns
// *SlowCallerError if there is none within maxBodyWait.
func (h *Connection) AddBody(ctx context.Context, n int) error {
	return h.reserve(ctx, reservation{add: int64(n), need: int64(n), timeout: maxBodyWait})
}

// AddAnswer counts n bytes of an answer once there is capacity; unread is what its server is
// estimated to hold of it meanwhile. It returns *SlowCallerError if there is none before the server
// would cut the answer off.
func (h *Connection) AddAnswer(ctx context.Context, n, unread int) error {
	return h.reserve(ctx, reservation{add: int64(n), need: int64(n), unread: int64(unread), timeout: maxAnswerWait})
}

// AwaitCapacity waits until there is capacity for n more bytes of an answer, without counting them.
func (h *Connection) AwaitCapacity(ctx context.Context, n, unread int) error {
	return h.reserve(ctx, reservation{need: int64(n), unread: int64(unread), timeout: maxAnswerWait})
}

// slowCallerError returns the error for a connection that is dropped at a bound. The lock must be
// held.
func (h *Connection) slowCallerError(bound Bound, now time.Time) *SlowCallerError {
	slow := &SlowCallerError{Bound: bound, Bytes: h.bytes}
	if _, ok := h.accounting.waiting[h]; ok {
		slow.Idle = now.Sub(h.waitingSince)
	}
	return slow
}

// drop marks the connection as dropped. The lock must be held; the caller calls abort once it has
// released it.
func (h *Connection) drop(bound Bound, now time.Time) {
	b := h.accounting
	h.dropped = h.slowCallerError(bound, now)
	delete(b.waiting, h)
	b.addClosing(h, h.bytes)
	b.unreadAtServers -= h.unreadAtServers
	h.unreadAtServers = 0
	// Waiting reservations check whether they are the dropped ones.
	b.signalFreed()
}

// wouldFree reports whether dropping this connection would help another one at a bound.
func (h *Connection) wouldFree(bound Bound, other *Connection) bool {
	switch bound {
	case BoundAccount:
		return h.account == other.account
	case BoundServers:
		return h.unreadAtServers > 0
	default:
		return true
	}
}

// Close ends the count of a connection that has ended.
func (h *Connection) Close() {
	b := h.accounting
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, h)
	b.add(h, -h.bytes)
	h.closed = true
}
