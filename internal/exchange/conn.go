package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dalebend/dalebend/internal/headcost"
)

// readBufferSize is the size of a connection's read buffer while it carries a request. It holds
// several events of a token stream, and a few hundred streams need only a few MB.
const readBufferSize = 4 << 10

// maxHeadBytes bounds the head of an answer. Common servers send a few hundred bytes and themselves
// accept no more than this.
const maxHeadBytes = 64 << 10

// unlimited disables the bound on the bytes read.
const unlimited = -1

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// conn is a connection to one server instance.
type conn struct {
	nc   net.Conn
	raw  syscall.RawConn
	pool *pool
	br   *bufio.Reader // nil while the connection is idle

	heads *headcost.Budget
	head  headcost.Meter
	left  int   // bytes that may still be read, or unlimited
	ended error // error that ended reading

	idleSince time.Time
	expires   time.Time
}

func newConn(nc net.Conn, own *pool, heads *headcost.Budget) (*conn, error) {
	system, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no connection of the operating system", nc)
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, raw: raw, pool: own, heads: heads, left: unlimited}, nil
}

// peer returns the name of the box that the connection goes through, empty if it is direct.
func (c *conn) peer() string {
	if t, ok := c.nc.(interface{ Peer() string }); ok {
		return t.Peer()
	}
	return ""
}

// describe returns the address of the server, with the box that the connection goes through.
func (c *conn) describe(addr string) string {
	if peer := c.peer(); peer != "" {
		return addr + " through " + peer
	}
	return addr
}

// Read reads from the connection, within the size limit of an answer's head.
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
		if !c.heads.Add(&c.head, p[:n]) {
			return 0, errHeadTooLarge
		}
	}
	if err != nil {
		c.ended = err
	}
	return n, err
}

// tryWrite writes without blocking. A short write is no error.
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

// attach takes a read buffer from the pool.
func (c *conn) attach() {
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c)
}

// detach returns the read buffer to the pool. The buffer must not be used afterwards.
func (c *conn) detach() {
	c.br.Reset(nil)
	readers.Put(c.br)
	c.br = nil
	c.heads.Release(&c.head)
}

// close ignores errors: the descriptor is released anyway, and no data is waiting to be flushed.
func (c *conn) close() { _ = c.nc.Close() }

// reusable reports whether an idle connection is open and has nothing to read. Bytes that arrived
// between requests belong to no request.
func (c *conn) reusable() bool {
	if b, ok := c.nc.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return false
	}
	silent := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && silent
}

// idleLessThan reports whether the connection was idle for less than fresh. 0 allows any time.
func (c *conn) idleLessThan(fresh time.Duration, now time.Time) bool {
	return fresh == 0 || now.Sub(c.idleSince) < fresh
}
