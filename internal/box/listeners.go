package box

import (
	"fmt"
	"net"

	"github.com/dalebend/dalebend/internal/connmux"
	"github.com/dalebend/dalebend/internal/tunnel"
)

// listeners are the open sockets of a box.
type listeners struct {
	front net.Listener
	ready net.Listener
	calls net.Listener
	// callsMux splits calls into remote procedure calls and tunnels.
	callsMux  *connmux.Mux
	heartbeat net.PacketConn
	// metrics is nil if the metrics are not served.
	metrics net.Listener
}

// open opens the sockets. On an error it closes those already open.
func (b *Box) open() (err error) {
	s := b.Settings
	l := &b.listeners
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.heartbeat, err = net.ListenPacket("udp", s.Heartbeat); err != nil {
		return fmt.Errorf("listen for heartbeats: %w", err)
	}
	if l.calls, err = net.Listen("tcp", s.Calls); err != nil {
		return fmt.Errorf("listen for other boxes: %w", err)
	}
	l.callsMux = &connmux.Mux{Listener: b.callsConnLimit().Listen(l.calls), Prefix: tunnel.Prefix, Clock: b.Clock, Logger: b.Logger}
	if l.ready, err = net.Listen("tcp", s.Ready); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if l.front, err = net.Listen("tcp", s.Front); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	l.metrics = b.listenMetrics()
	return nil
}

// listenMetrics opens the socket for the metrics. A failure is only logged, since a box without
// metrics still serves its callers.
func (b *Box) listenMetrics() net.Listener {
	if b.Metrics == nil || b.Settings.Metrics == "" {
		return nil
	}
	ln, err := net.Listen("tcp", b.Settings.Metrics)
	if err != nil {
		b.Logger.Warn("metrics listener could not be opened", "error", err)
		return nil
	}
	return ln
}

func (l *listeners) close() {
	for _, c := range []interface{ Close() error }{l.heartbeat, l.calls, l.ready, l.front} {
		if c != nil {
			// A close error doesn't matter: nothing was sent.
			_ = c.Close()
		}
	}
}
