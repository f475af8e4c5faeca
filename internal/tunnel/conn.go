package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
)

// Conn is the near end of a tunnel, a connection to a server.
type Conn struct {
	*net.TCPConn

	// peer is the name of the box at the far end.
	peer string
	br   *bufio.Reader
	// left is what remains of the present frame.
	left int
	// closed is set after the frame that ends the connection.
	closed bool
}

// Peer returns the name of the box that the tunnel goes through.
func (c *Conn) Peer() string { return c.peer }

// Read reads bytes from the server. A tunnel that was cut ends with io.ErrUnexpectedEOF or an error of the
// connection.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.br.Read(p[:min(len(p), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *Conn) nextFrame() error {
	if c.closed {
		return io.EOF
	}
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(c.br, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	if c.left == 0 {
		c.closed = true
		return io.EOF
	}
	return nil
}

// Buffered returns the number of bytes that have arrived and are not read, as far as they are not
// left to the operating system.
func (c *Conn) Buffered() int { return c.br.Buffered() }
