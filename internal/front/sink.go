package front

import (
	"net/http"
	"strconv"
)

// sink writes an answer to the caller. Nothing leaves before the first bytes of
// the body, so that until then another answer can be given.
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

// Events writes whole events.
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

// whole writes an answer that is one whole.
func (s *sink) whole(body []byte) error {
	if s.x.req.Method != http.MethodHead {
		s.header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	s.begin()
	_, err := s.x.w.Write(body)
	return err
}

// finish ends a whole answer, which may have had no event.
func (s *sink) finish() {
	if !s.begun {
		s.begin()
	}
}

func (s *sink) begin() {
	s.begun = true
	to := s.x.w.Header()
	// Without this, a type would be guessed for an answer that has none.
	to["Content-Type"] = nil
	for name, values := range s.header {
		to[name] = values
	}
	s.x.w.WriteHeader(s.status)
}
