package exchange

import (
	"bufio"
	"errors"
	"io"
)

// bodyReader reads a body up to its end. Read returns io.EOF only after a clean end.
type bodyReader interface {
	io.Reader
	// clean reports whether nothing of the body is left on the connection.
	clean() bool
}

// newBodyReader returns the reader for a body with the given framing. The progress of the request
// decides whether an unframed body ended cleanly.
func newBodyReader(br *bufio.Reader, f framing, sent *sending) bodyReader {
	switch f.kind {
	case sized:
		return &sizedReader{br: br, left: f.length}
	case chunked:
		return &chunkReader{br: br}
	case untilClose:
		return &closeReader{br: br, sent: sent}
	case bodiless:
		return &sizedReader{br: br}
	}
	return &sizedReader{br: br}
}

// sizedReader reads a body of a known length.
type sizedReader struct {
	br   *bufio.Reader
	left int64
}

func (s *sizedReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.br.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if err != nil {
		return n, unexpectedEOF(err)
	}
	return n, nil
}

func (s *sizedReader) clean() bool { return s.left == 0 }

// closeReader reads a body that ends when the server closes the connection.
type closeReader struct {
	br   *bufio.Reader
	sent *sending
	done bool
}

func (c *closeReader) Read(p []byte) (int, error) {
	n, err := c.br.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A reset is reported once, either to the read or to a write. If a write failed, this EOF may
	// be due to a reset.
	c.sent.wait()
	if c.sent.err != nil {
		return n, c.sent.err
	}
	c.done = true
	return n, io.EOF
}

func (c *closeReader) clean() bool { return c.done }
