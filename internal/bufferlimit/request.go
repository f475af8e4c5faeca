package bufferlimit

import (
	"context"
	"sync"
)

// Request counts what is buffered for one request of a connection: its body, and an answer that is
// buffered whole. A nil Request counts nothing.
type Request struct {
	connection *Connection

	mu    sync.Mutex
	bytes int
	ended bool
}

// BeginRequest starts the count of a request.
func (h *Connection) BeginRequest() *Request { return &Request{connection: h} }

// AddBody is Connection.AddBody for as long as the request lasts.
func (r *Request) AddBody(ctx context.Context, n int) error {
	if r == nil {
		return nil
	}
	if err := r.connection.AddBody(ctx, n); err != nil {
		return err
	}
	r.record(n)
	return nil
}

// AddAnswer is Connection.AddAnswer for as long as the request lasts.
func (r *Request) AddAnswer(ctx context.Context, n, unread int) error {
	if r == nil {
		return nil
	}
	if err := r.connection.AddAnswer(ctx, n, unread); err != nil {
		return err
	}
	r.record(n)
	return nil
}

// record adds to what End frees. Bytes that arrive after End are freed at once.
func (r *Request) record(n int) {
	r.mu.Lock()
	ended := r.ended
	if !ended {
		r.bytes += n
	}
	r.mu.Unlock()
	if ended {
		r.connection.Add(-n)
	}
}

// End frees everything that was counted.
func (r *Request) End() {
	r.mu.Lock()
	n := r.bytes
	r.bytes, r.ended = 0, true
	r.mu.Unlock()
	if n > 0 {
		r.connection.Add(-n)
	}
}
