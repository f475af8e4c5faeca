package streaming_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// stream is the answer of an engine that runs a generation.
type stream struct {
	fleet  *fleet
	engine string
	run    int
	// next is the number of the next event.
	next   int
	pieces chan piece
	ended  <-chan struct{}
	// cause returns why the request ended.
	cause  func() error
	closed chan struct{}

	// heedless is set if the engine works on after the connection has closed.
	heedless bool

	mu      sync.Mutex
	reading bool
	shut    bool
	over    bool
	rest    []byte
	// stopped is set when the engine stopped the run for a move.
	stopped bool
	// wholeRead is set when the clean end of the whole answer was read.
	wholeRead bool
}

// errDefect stands for a defect of the program that an answer brings out.
var errDefect = errors.New("a defect in reading the answer")

// piece is the next output of a stream: bytes or an end.
type piece struct {
	data []byte
	err  error
}

func (s *stream) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over || s.shut
}

// active reports whether the engine works on the run.
func (s *stream) active() bool {
	if !s.heedless {
		return !s.isOver() && !isOver(s.ended)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.over
}

// stop ends a stream cleanly but early, in the background.
func (s *stream) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.end(io.ErrUnexpectedEOF)
}

// end ends a stream, in the background. The reader sees the end after the pending bytes.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.over = true
	go s.give(piece{err: err})
}

// say sends the next n events, completing one that was sent in part.
func (s *stream) say(n int) {
	if !s.isOver() {
		go s.give(piece{data: s.text(n)})
	}
}

// sayPart sends the next n events and the first bytes of the following one, in one piece.
func (s *stream) sayPart(n int) {
	if s.isOver() || n == 0 && s.rest != nil {
		return
	}
	text := s.text(n)
	s.rest = []byte(event(s.run, s.next)[:5])
	go s.give(piece{data: append(text, s.rest...)})
}

// text returns the unsent bytes of the next n events.
func (s *stream) text(n int) []byte {
	var b strings.Builder
	for range n {
		b.WriteString(event(s.run, s.next))
		s.next++
	}
	said := len(s.rest)
	s.rest = nil
	return []byte(b.String()[said:])
}

func (s *stream) give(p piece) {
	select {
	case s.pieces <- p:
	case <-s.closed:
	case <-s.ended:
	}
}

// event returns the text of an event of a run.
func event(run, n int) string { return fmt.Sprintf("id: %d\ndata: run %d\n\n", n, run) }

func (s *stream) Read(p []byte) (int, error) {
	s.enter("read")
	defer s.leave()
	select {
	case got := <-s.pieces:
		if errors.Is(got.err, errDefect) {
			panic(got.err)
		}
		s.wholeRead = s.wholeRead || errors.Is(got.err, io.EOF) && !s.stopped
		return copy(p, got.data), got.err
	case <-s.closed:
		return 0, errors.New("read on a closed body")
	case <-s.ended:
		return 0, s.cause()
	}
}

// Close ends the stream. As with any body of an exchange, it must not overlap with a Read.
func (s *stream) Close() error {
	s.enter("close")
	defer s.leave()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shut {
		s.shut = true
		close(s.closed)
	}
	return nil
}

func (s *stream) enter(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading {
		s.fleet.fault(fmt.Sprintf("%s of the stream at %s while it is read", what, s.engine))
	}
	s.reading = true
}

func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
}
