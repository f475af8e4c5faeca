package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxTrailerBytes bounds the trailer. Trailers are discarded, so customary ones only have to pass.
const maxTrailerBytes = 8 << 10

// chunkSizeBits bounds a chunk's size, which has to fit an int64.
const chunkSizeBits = 63

// chunkReader decodes a chunked body. Unlike the reader of net/http, it returns the part of a chunk
// that has arrived without waiting for the rest, because an event may be a part of a chunk.
type chunkReader struct {
	br   *bufio.Reader
	left int64 // remaining bytes of the present chunk
	open bool  // inside a chunk whose closing CRLF is pending
	done bool  // the last chunk and the trailer were read
}

// Read returns the data that has arrived, from several chunks if possible.
func (c *chunkReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && (n == 0 || c.nextIsBuffered()) {
		if c.left == 0 {
			if err := c.nextChunk(); err != nil {
				return n, err
			}
		}
		part := p[n:]
		part = part[:min(int64(len(part)), c.left)]
		m, err := c.br.Read(part)
		n += m
		c.left -= int64(m)
		if err != nil {
			return n, unexpectedEOF(err)
		}
	}
	return n, nil
}

// clean reports whether the body was read to its end.
func (c *chunkReader) clean() bool { return c.done }

// nextIsBuffered reports whether more data can be read without blocking.
func (c *chunkReader) nextIsBuffered() bool {
	if c.left > 0 {
		return c.br.Buffered() > 0
	}
	buffered, _ := c.br.Peek(c.br.Buffered()) // Peek of buffered bytes cannot fail
	if c.open {
		buffered = bytes.TrimPrefix(buffered, []byte("\r\n"))
	}
	if bytes.HasPrefix(buffered, []byte("0")) {
		return bytes.HasPrefix(buffered, []byte("0\r\n\r\n"))
	}
	line := bytes.IndexByte(buffered, '\n')
	return line >= 0 && line+1 < len(buffered)
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the
// trailer.
func (c *chunkReader) nextChunk() error {
	if c.done {
		return io.EOF
	}
	if err := c.closeChunk(); err != nil {
		return err
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, err := chunkSize(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return c.readTrailer()
	}
	c.left, c.open = size, true
	return nil
}

// closeChunk reads the line break after the data of a chunk.
func (c *chunkReader) closeChunk() error {
	if !c.open {
		return nil
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	if len(line) > 0 {
		return &malformedError{what: "chunk is longer than its size"}
	}
	c.open = false
	return nil
}

// readTrailer discards the trailer and returns io.EOF after its empty line.
func (c *chunkReader) readTrailer() error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			c.done = true
			return io.EOF
		}
		total += len(line)
	}
	return &malformedError{what: "trailer is too long"}
}

// readLine returns a line without its line break, valid until the next read.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := c.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, &malformedError{what: "chunk line is too long"}
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, &malformedError{what: "chunk line without a carriage return"}
	}
	return text, nil
}

// chunkSize parses a chunk's size and ignores its extensions.
func chunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, chunkSizeBits)
	if err != nil {
		return 0, &malformedError{what: "chunk size"}
	}
	return int64(size), nil
}
