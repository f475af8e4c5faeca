package front

import (
	"net"
	"sync"
)

// inFlight tracks the connections with a request in progress. A request is in progress until its
// answer has been written to the connection, which for the last bytes happens after its handler has
// returned. The zero value is ready to use.
type inFlight struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// ended, if there is a waiter, is closed when the last request ends.
	ended chan struct{}
	// finished is set when no more requests may begin.
	finished bool
}

// begin records that a connection has a request and reports whether that may begin.
func (r *inFlight) begin(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = make(map[net.Conn]struct{})
	}
	r.conns[conn] = struct{}{}
	return !r.finished
}

// finish stops further requests from beginning if none is in progress and all answers were
// delivered, and reports whether it did. It calls delivered only if no request is in progress.
func (r *inFlight) finish(delivered func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) == 0 && delivered() {
		r.finished = true
	}
	return r.finished
}

// stop stops further requests from beginning.
func (r *inFlight) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
}

// end records that a connection has no request, which may have been so before.
func (r *inFlight) end(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.conns[conn]; !open {
		return
	}
	delete(r.conns, conn)
	if len(r.conns) == 0 && r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

func (r *inFlight) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// idle returns a channel that is closed once no request is in progress.
func (r *inFlight) idle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) == 0 {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return r.endedLocked()
}

// nextIdle returns a channel that is closed when the last request ends, the next time that happens.
func (r *inFlight) nextIdle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedLocked()
}

func (r *inFlight) endedLocked() <-chan struct{} {
	if r.ended == nil {
		r.ended = make(chan struct{})
	}
	return r.ended
}
