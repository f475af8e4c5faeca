package bufferlimit

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Accounting counts the buffered bytes of a box. It is safe for concurrent use. Set the exported
// fields before use.
type Accounting struct {
	Clock clockwork.Clock
	// Limits bound the buffered bytes; the zero value bounds nothing.
	Limits Limits

	mu    sync.Mutex
	total byteCount
	// maxBuffered is the highest total.buffered so far.
	maxBuffered int64
	// unreadAtServers is what servers hold of answers that the box doesn't read on, in bytes.
	unreadAtServers int64
	// accounts holds the counts of client accounts with buffered bytes, by name.
	accounts map[string]*byteCount
	// waiting holds the connections whose callers the box waits for.
	waiting map[*Connection]struct{}
	// freed, if something waits for capacity, is closed when bytes are freed.
	freed chan struct{}
}

// byteCount is a sum over connections, in bytes.
type byteCount struct {
	buffered int64
	// closing is the part held by dropped connections, which will soon be free.
	closing int64
}

// Open starts the count of a connection. Cut ends the connection or what it waits for; it is called
// at most once, without the lock.
func (b *Accounting) Open(cut func()) *Connection { return &Connection{accounting: b, abort: cut} }

// Buffered returns the bytes that are buffered now, and the most at any time so far.
func (b *Accounting) Buffered() (now, maxSoFar int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total.buffered, b.maxBuffered
}

// Unread returns the bytes that servers are estimated to hold for this box now.
func (b *Accounting) Unread() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreadAtServers
}

// AwaitedCallers returns the number of connections whose callers the box waits for.
func (b *Accounting) AwaitedCallers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Run ends stalled connections until the context ends.
func (b *Accounting) Run(ctx context.Context) {
	ticker := b.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			b.sweep()
		}
	}
}

// sweep ends connections without any progress for stalledAfter.
func (b *Accounting) sweep() {
	b.mu.Lock()
	now := b.Clock.Now()
	var stalled []*Connection
	for h := range b.waiting {
		if h.dropped == nil && h.bytes > 0 && now.Sub(h.waitingSince) >= stalledAfter {
			h.drop(BoundStalled, now)
			stalled = append(stalled, h)
		}
	}
	b.mu.Unlock()
	for _, h := range stalled {
		h.abort()
	}
}

// exceededBound returns the bound that n more bytes of a connection would exceed, or "". The lock
// must be held, as for all methods below but freedChannel.
func (b *Accounting) exceededBound(h *Connection, n int64) Bound {
	account := b.accounts[h.account]
	switch {
	case exceeds(h.bytes+n, b.Limits.Connection):
		return BoundConnection
	case account != nil && exceeds(account.buffered+n, b.Limits.Account):
		return BoundAccount
	case exceeds(b.total.buffered+n, b.Limits.Box):
		return BoundBox
	default:
		return ""
	}
}

// exceeds reports whether a sum is above a limit; 0 is no limit.
func exceeds(n, limit int64) bool { return limit > 0 && n > limit }

// serversOverLimit reports whether servers hold too much for this box.
func (b *Accounting) serversOverLimit() bool { return exceeds(b.unreadAtServers, b.Limits.Servers) }

// dropSlowest drops the slowest connection to get n more bytes below a bound, and returns it. It
// returns nil if no connection is slow, or if dropped ones will soon free enough.
func (b *Accounting) dropSlowest(h *Connection, bound Bound, n int64) *Connection {
	switch {
	case bound == BoundConnection:
		return nil
	case bound == BoundAccount && !exceeds(b.accounts[h.account].afterClosing()+n, b.Limits.Account):
		return nil
	case bound == BoundBox && !exceeds(b.total.afterClosing()+n, b.Limits.Box):
		return nil
	}
	now := b.Clock.Now()
	var connections []*Connection
	var callers []waitingCaller
	for s := range b.waiting {
		if s.dropped != nil || !s.wouldFree(bound, h) {
			continue
		}
		connections = append(connections, s)
		callers = append(callers, waitingCaller{bytes: s.bytes, idle: now.Sub(s.waitingSince)})
	}
	at := slowest(callers)
	if at < 0 {
		return nil
	}
	connections[at].drop(bound, now)
	return connections[at]
}

// afterClosing returns what remains buffered once the dropped connections have closed.
func (t *byteCount) afterClosing() int64 { return t.buffered - t.closing }

// add counts bytes of a connection; a negative number frees some.
func (b *Accounting) add(h *Connection, n int64) {
	if n == 0 || h.closed {
		return
	}
	h.bytes += n
	b.total.buffered += n
	b.maxBuffered = max(b.maxBuffered, b.total.buffered)
	b.addToAccount(h, n)
	if h.dropped != nil {
		b.addClosing(h, n)
	}
	if n < 0 {
		b.signalFreed()
	}
}

// addToAccount counts bytes for the client account of a connection.
func (b *Accounting) addToAccount(h *Connection, n int64) {
	if h.account == "" {
		return
	}
	if b.accounts == nil {
		b.accounts = make(map[string]*byteCount)
	}
	t := b.accounts[h.account]
	if t == nil {
		t = &byteCount{}
		b.accounts[h.account] = t
	}
	t.buffered += n
	if t.buffered == 0 {
		delete(b.accounts, h.account)
	}
}

// addClosing counts bytes that a dropped connection will soon free.
func (b *Accounting) addClosing(h *Connection, n int64) {
	b.total.closing += n
	if t := b.accounts[h.account]; t != nil {
		t.closing += n
	}
}

// signalFreed wakes everything that waits for capacity.
func (b *Accounting) signalFreed() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// freedChannel returns a channel that is closed when bytes are freed.
func (b *Accounting) freedChannel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}
