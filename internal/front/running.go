package front

import "sync"

// running counts requests. The zero value is ready to use.
type running struct {
	mu   sync.Mutex
	open int
	// ended, if somebody waits, is closed when none is left.
	ended chan struct{}
	// finished is set when no more may begin.
	finished bool
}

// begin counts a request in, and reports whether it may begin.
func (r *running) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open++
	return !r.finished
}

// finish has no more begin if none runs, and reports whether that is so.
func (r *running) finish() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == 0 {
		r.finished = true
	}
	return r.finished
}

func (r *running) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if r.open == 0 && r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// none returns a channel that is closed once no request runs.
func (r *running) none() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == 0 {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if r.ended == nil {
		r.ended = make(chan struct{})
	}
	return r.ended
}
