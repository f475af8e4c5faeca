// Package sse splits a server-sent event stream into events. A comment, a line that begins with a colon, is passed on
// and is no event.
//
// A stream may break in the middle of an event. Only complete events are passed on, so that the
// stream can be resumed elsewhere after the last of them.
package sse

import "bytes"

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	newline  = []byte("\n")
)

// maxEventBytes bounds an event: some six hundred times the usual size, so that a server that never
// ends one cannot exhaust the memory.
const maxEventBytes = 256 << 10

// Splitter buffers bytes and returns complete events. The zero value is ready to use.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
	skip    int // events to drop
}

// Add buffers bytes of the stream and returns the complete events so far, or nil. The slice is
// valid until the next call. ok is false if an event is too large.
func (s *Splitter) Add(p []byte) (events []byte, ok bool) {
	s.pending = append(s.pending, p...)
	s.dropSkipped()
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil, len(s.pending) <= maxEventBytes
	}
	end += len(eventEnd)
	return s.pending[:end], true
}

// Commit records that the events returned by Add were passed on, and removes them from the buffer.
func (s *Splitter) Commit(events []byte) {
	for part := range bytes.SplitSeq(events[:len(events)-len(eventEnd)], eventEnd) {
		s.count(part)
	}
	rest := copy(s.pending, s.pending[len(events):])
	s.pending = s.pending[:rest]
}

// isEvent reports whether a part of the stream is an event: any line of it is neither blank nor a comment.
func isEvent(part []byte) bool {
	for line := range bytes.SplitSeq(part, newline) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// count counts an event and stores its id.
func (s *Splitter) count(event []byte) {
	if !isEvent(event) {
		return
	}
	s.events++
	for line := range bytes.SplitSeq(event, newline) {
		if id, found := bytes.CutPrefix(line, idField); found {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// Skip drops the next n events of the stream, which were passed on before. Nothing may be buffered.
func (s *Splitter) Skip(n int) { s.skip = n }

// dropSkipped drops the events to skip.
func (s *Splitter) dropSkipped() {
	for s.skip > 0 {
		event, rest, complete := bytes.Cut(s.pending, eventEnd)
		if !complete {
			return
		}
		if isEvent(event) {
			s.skip--
		}
		s.pending = s.pending[:copy(s.pending, rest)]
	}
}

// DropPartial discards an incomplete event, as the stream begins anew after the last complete one.
func (s *Splitter) DropPartial() { s.pending, s.skip = s.pending[:0], 0 }

// Partial reports whether an incomplete event is buffered.
func (s *Splitter) Partial() bool { return len(s.pending) > 0 }

// LastID returns the id of the last event that was passed on, or "".
func (s *Splitter) LastID() string { return s.lastID }

// Events returns how many events were passed on.
func (s *Splitter) Events() int { return s.events }
