// Package proxy is a TCP proxy of the loopback network whose connections can be
// delayed, reset, cut one way or silenced.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// Proxy passes connections on to a target. Set the exported fields before Listen.
type Proxy struct {
	// Target is the address that connections go to, HOST:PORT.
	Target string
	Clock  clockwork.Clock
	Logger *slog.Logger

	ln net.Listener
	// shut closes ln, once.
	shut func() error

	mu     sync.Mutex
	faults []*Fault
	// changed is closed and replaced when the faults have changed.
	changed chan struct{}
	links   map[*link]struct{}
}

// Listen opens the proxy at an address, HOST:PORT.
func (p *Proxy) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("proxy to %s: %w", p.Target, err)
	}
	p.ln = ln
	p.shut = sync.OnceValue(ln.Close)
	p.changed = make(chan struct{})
	p.links = make(map[*link]struct{})
	return nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Shut closes the address of the proxy, so that further connections are refused, as those to a process that
// has ended. Open ones live on.
func (p *Proxy) Shut() error { return p.shut() }

// Run passes connections on until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return p.shut()
	})
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			break
		}
		g.Go(func() error {
			p.serve(ctx, conn)
			return nil
		})
	}
	return g.Wait()
}

// serve passes one connection on until it ends.
func (p *Proxy) serve(ctx context.Context, conn net.Conn) {
	if p.combined().Refuse {
		p.abort(conn)
		return
	}
	onward, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Target)
	if err != nil {
		p.Logger.Debug("proxy cannot connect", "target", p.Target, "error", err)
		p.abort(conn)
		return
	}
	l := &link{proxy: p, near: conn, far: onward}
	if !p.keep(l) {
		l.abort()
		return
	}
	l.run(ctx)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// keep notes a link, and reports whether it may be used: not if new ones are refused by
// now.
func (p *Proxy) keep(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = struct{}{}
	return !p.merge().Refuse
}

// abort ends a connection with a reset.
func (p *Proxy) abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			p.Logger.Debug("connection ends without a reset", "error", err)
		}
	}
	if err := conn.Close(); err != nil {
		p.Logger.Debug("connection was closed already", "error", err)
	}
}
