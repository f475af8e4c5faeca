// Package connmux splits the connections of one listener by their first bytes, so that two protocols
// share an address.
package connmux

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// firstBytesTimeout bounds how long a connection may take to send its first bytes.
	firstBytesTimeout = 2 * time.Second
	// acceptPause is the delay after a failed accept, for instance without free file descriptors.
	acceptPause = 100 * time.Millisecond
)

// Mux accepts TCP connections. Set the exported fields before the first use.
type Mux struct {
	Listener net.Listener
	// Prefix begins the connections that Matching returns.
	Prefix string
	Clock  clockwork.Clock
	Logger *slog.Logger

	once     sync.Once
	matching *branch
	others   *branch
}

// Matching returns the listener of the connections that begin with Prefix.
func (m *Mux) Matching() net.Listener {
	m.once.Do(m.init)
	return m.matching
}

// Others returns the listener of all other connections.
func (m *Mux) Others() net.Listener {
	m.once.Do(m.init)
	return m.others
}

func (m *Mux) init() {
	m.matching = newBranch(m.Listener.Addr())
	m.others = newBranch(m.Listener.Addr())
}

// Run accepts connections until the context ends or the listener is closed. Both are closed when it returns.
func (m *Mux) Run(ctx context.Context) error {
	m.once.Do(m.init)
	var open sync.WaitGroup
	defer open.Wait()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{})
	context.AfterFunc(inner, func() {
		defer close(closed)
		_ = m.Listener.Close() // nothing was sent on it
		_ = m.matching.Close()
		_ = m.others.Close()
	})
	for {
		conn, err := m.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			cancel()
			// Accept fails before the address is free.
			<-closed
			return nil
		}
		if err != nil {
			m.Logger.Warn("cannot accept peers", "err", err)
			m.pause(inner)
			continue
		}
		open.Go(func() { m.route(inner, conn) })
	}
}

func (m *Mux) pause(ctx context.Context) {
	timer := m.Clock.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// route hands a connection to one of the listeners.
func (m *Mux) route(ctx context.Context, conn net.Conn) {
	giveUp := func() { _ = conn.Close() }
	stop := context.AfterFunc(ctx, giveUp)
	timer := m.Clock.AfterFunc(firstBytesTimeout, giveUp)
	matches, err := hasPrefix(conn, m.Prefix)
	// Either may have closed the connection just now; whoever gets it then finds it closed.
	timer.Stop()
	stop()
	if err != nil {
		giveUp()
		return
	}
	to := m.others
	if matches {
		to = m.matching
	} else if c, ok := conn.(interface{ Uncount() }); ok {
		c.Uncount()
	}
	to.deliver(conn)
}

// hasPrefix reports whether the bytes that arrive on a connection begin with a prefix. It reads none
// of them.
func hasPrefix(conn net.Conn, prefix string) (bool, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.New("not a connection of the operating system")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false, err
	}
	buf := make([]byte, len(prefix))
	n, failed := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, _, failed = unix.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(failed, unix.EAGAIN) || errors.Is(failed, unix.EINTR) {
			return false
		}
		partial := failed == nil && n > 0 && n < len(prefix) && string(buf[:n]) == prefix[:n]
		return !partial
	})
	if err = errors.Join(err, failed); err != nil {
		return false, err
	}
	return string(buf[:n]) == prefix, nil
}
