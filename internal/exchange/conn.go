package exchange

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferSize is the size in bytes of the read buffer that a connection has while
// it carries a request. An event of a token stream fits several times; a few
// hundred streams stay within a few MB.
const readBufferSize = 4 << 10

// headLimit bounds the head of an answer in bytes. Common servers send a few
// hundred bytes and refuse to take more than this themselves.
const headLimit = 64 << 10

// unlimited turns off the bound on the bytes that a connection reads.
const unlimited = -1

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// conn is a connection to one start of a server.
type conn struct {
	nc  net.Conn
	raw syscall.RawConn
	own *pool
	br  *bufio.Reader // nil while the connection is idle

	left  int   // bytes that may still be read, or unlimited
	ended error // of a read from the connection

	idleSince time.Time
	expires   time.Time
}

func newConn(nc *net.TCPConn, own *pool) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, raw: raw, own: own, left: unlimited}, nil
}

// Read reads from the connection, within the bound on an answer's head.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeadTooLarge
	}
	if c.left > 0 && len(p) > c.left {
		p = p[:c.left]
	}
	n, err := c.nc.Read(p)
	if c.left > 0 {
		c.left -= n
	}
	if err != nil {
		c.ended = err
	}
	return n, err
}

// tryWrite writes what the connection takes without waiting. Writing less than p is
// no error.
func (c *conn) tryWrite(p []byte) (int, error) {
	n, failed := 0, error(nil)
	err := c.raw.Write(func(fd uintptr) bool {
		n, failed = unix.Write(int(fd), p)
		return !errors.Is(failed, unix.EINTR)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(failed, unix.EAGAIN):
		return 0, nil
	case failed != nil:
		return 0, os.NewSyscallError("write", failed)
	}
	return n, nil
}

// attach gives the connection its read buffer.
func (c *conn) attach() {
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c)
}

// detach returns the read buffer, which must not be used afterwards.
func (c *conn) detach() {
	c.br.Reset(nil)
	readers.Put(c.br)
	c.br = nil
}

// close closes the connection. Nothing can be done about an error: the descriptor
// is released all the same, and no data is waiting to be flushed.
func (c *conn) close() { _ = c.nc.Close() }

// reusable reports whether an idle connection is still open and silent. Bytes that
// arrived while no request was waiting belong to no request.
func (c *conn) reusable() bool {
	silent := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && silent
}

// restedAtMost reports whether the connection was idle for less than fresh. 0 allows
// any time.
func (c *conn) restedAtMost(fresh time.Duration, now time.Time) bool {
	return fresh == 0 || now.Sub(c.idleSince) < fresh
}
