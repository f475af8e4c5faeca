package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/dalebend/dalebend/internal/soak/pause"
)

const (
	// pieceBytes is the most that is passed on at once.
	pieceBytes = 32 << 10
	// tcpClosed is the state of a connection that its peer has reset: TCP_CLOSE of the
	// Linux kernel.
	tcpClosed = 7
)

// link is one connection and its way onward.
type link struct {
	proxy     *Proxy
	near, far net.Conn
}

// run passes data on both ways until both ends are closed.
func (l *link) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.abort)
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { l.pump(ctx, l.near, l.far, func(f Fault) bool { return f.Forth }) })
	both.Go(func() { l.pump(ctx, l.far, l.near, func(f Fault) bool { return f.Back }) })
	both.Wait()
	l.abort()
}

// abort ends both connections with a reset.
func (l *link) abort() {
	l.proxy.abort(l.near)
	l.proxy.abort(l.far)
}

// pump passes data on one way. An end is passed on like data; a reset takes what
// was held up with it.
func (l *link) pump(ctx context.Context, from, to net.Conn, held func(Fault) bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if !l.wait(ctx, held) {
			return
		}
		switch {
		case err != nil && !errors.Is(err, io.EOF), n > 0 && wasReset(from):
			l.abort()
			return
		case err != nil:
			l.end(to)
			return
		}
		if _, err := to.Write(piece[:n]); err != nil {
			l.abort()
			return
		}
	}
}

// end passes the end of a direction on.
func (l *link) end(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			l.proxy.Logger.Debug("end could not be passed on", "error", err)
		}
	}
}

// wait waits as long as data is delayed or held up, and returns false if the context ends.
func (l *link) wait(ctx context.Context, held func(Fault) bool) bool {
	fault, changed := l.proxy.state()
	if fault.Delay > 0 && !pause.For(ctx, l.proxy.Clock, fault.Delay) {
		return false
	}
	for held(fault) {
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
		fault, changed = l.proxy.state()
	}
	return true
}

// wasReset reports whether the peer has reset a connection.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return err != nil || closed
}
