// Package disconnect detects clients that close their connection while they wait for an answer.
//
// An HTTP server that is not reading learns of a closed connection only when it writes. The watcher
// polls the sockets of waiting clients without consuming data. A client that closed its sending
// side is treated as disconnected.
package disconnect

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/periodic"
)

// Watcher polls connections. Set the exported fields before Run.
type Watcher struct {
	Clock clockwork.Clock
	// Interval is the time between polls.
	Interval time.Duration

	mu      sync.Mutex
	watched map[*watch]struct{}
}

// watch is one connection and the callback for its disconnection.
type watch struct {
	raw  syscall.RawConn
	gone func()
}

// Watch calls gone, once, when the client of conn has disconnected. The returned function ends the
// watch; gone is not called after it returns, but may be running.
func (w *Watcher) Watch(conn net.Conn, gone func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	entry := &watch{raw: raw, gone: gone}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watched == nil {
		w.watched = make(map[*watch]struct{})
	}
	w.watched[entry] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, entry)
	}
}

// Run polls the watched connections until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	periodic.Run(ctx, w.Clock, w.Interval, w.Poll)
}

// Poll checks all watched connections once.
func (w *Watcher) Poll() {
	w.mu.Lock()
	entries := make([]*watch, 0, len(w.watched))
	for e := range w.watched {
		entries = append(entries, e)
	}
	w.mu.Unlock()
	for _, e := range entries {
		if closed(e.raw) && w.remove(e) {
			e.gone()
		}
	}
}

func (w *Watcher) remove(e *watch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, present := w.watched[e]
	delete(w.watched, e)
	return present
}

// closed peeks at a socket, and reports whether its client has closed it.
func closed(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			gone = true
		default:
			gone = n == 0
		}
	})
	return gone || err != nil
}
