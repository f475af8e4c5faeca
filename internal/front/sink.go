package front

import (
	"context"
	"net/http"
	"strconv"
)

const (
	// minEventsCapacity is the buffer capacity that must be free before more events are read: one
	// read.
	minEventsCapacity = 4 << 10
	// pieceBytes is the size in which a complete answer is written: above nearly all answers, and
	// below the buffers of a connection.
	pieceBytes = 64 << 10
)

// sink writes an answer to the caller. Nothing is sent before the first bytes of the body, so that
// a different answer is possible until then.
type sink struct {
	x      *exchange
	status int
	header http.Header
	begun  bool
	events int
}

// Head keeps the head of the answer.
func (s *sink) Head(status int, header http.Header) {
	s.status = status
	s.header = header
}

// Events writes complete events.
func (s *sink) Events(p []byte) error {
	if !s.begun {
		s.begin()
		s.x.firstEvent()
	}
	s.events++
	if _, err := s.x.w.Write(p); err != nil {
		return err
	}
	return http.NewResponseController(s.x.w).Flush()
}

// Behind reports whether the caller has not taken all that was passed on.
func (s *sink) Behind() bool { return s.x.conn.Unsent() > 0 }

// Await waits until further events fit the buffer limits.
func (s *sink) Await(ctx context.Context, unread int) error {
	return s.x.conn.Buffers().AwaitCapacity(ctx, minEventsCapacity, unread)
}

// writeWhole writes a complete answer and waits until the caller has taken it. It writes in pieces,
// because the connection copies what is not taken at once.
func (s *sink) writeWhole(body []byte) error {
	if s.x.req.Method == http.MethodHead {
		s.begin()
		_, err := s.x.w.Write(body)
		return err
	}
	s.header.Set("Content-Length", strconv.Itoa(len(body)))
	s.begin()
	for len(body) > pieceBytes {
		if err := s.writePiece(body[:pieceBytes]); err != nil {
			return err
		}
		body = body[pieceBytes:]
	}
	if _, err := s.x.w.Write(body); err != nil {
		return err
	}
	return s.awaitTaken()
}

// writePiece writes a piece and waits while more than one piece is unsent.
func (s *sink) writePiece(p []byte) error {
	if _, err := s.x.w.Write(p); err != nil {
		return err
	}
	return s.x.conn.AwaitUnsent(s.x.http.Context(), pieceBytes)
}

// awaitTaken waits until the caller has taken the whole answer. The request's deadline does not end
// the wait: an answer that is ready is delivered even if late. The last buffer of net/http is
// flushed after the request has ended, unless the caller is already behind.
func (s *sink) awaitTaken() error {
	if !s.Behind() {
		return nil
	}
	if err := http.NewResponseController(s.x.w).Flush(); err != nil {
		return err
	}
	return s.x.conn.AwaitUnsent(s.x.http.Context(), 0)
}

// finish ends a complete stream, which may have had no event.
func (s *sink) finish() error {
	if !s.begun {
		s.begin()
		return nil
	}
	return s.x.conn.AwaitUnsent(s.x.http.Context(), 0)
}

func (s *sink) begin() {
	s.begun = true
	s.x.begun = true
	to := s.x.w.Header()
	// Otherwise net/http would guess a type for an answer that has none.
	to["Content-Type"] = nil
	for name, values := range s.header {
		to[name] = values
	}
	s.x.writeHead(s.status)
}
