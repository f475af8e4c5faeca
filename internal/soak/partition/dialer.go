// Package partition dials backend servers for one box and can cut the box off from all of them.
package partition

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/soak/proxy"
)

// Mode is how a box is cut off.
type Mode string

// Modes of a partition.
const (
	// None is no partition.
	None Mode = "none"
	// Silent lets open connections hang and new ones get no answer.
	Silent Mode = "silent"
	// OneWay lets requests through on open connections, but no answers; new connections hang.
	OneWay Mode = "one-way"
	// Reset resets open connections and refuses new ones.
	Reset Mode = "reset"
	// Refuse refuses new connections; open ones live on.
	Refuse Mode = "refuse"
)

// Modes returns all modes that cut a box off.
func Modes() []Mode { return []Mode{Silent, OneWay, Reset, Refuse} }

// Dialer is an exchange.Dialer. Its connections go through proxies in this process, one for each
// server. Set the exported fields before use.
type Dialer struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Context ends the proxies; Group runs them.
	Context context.Context
	Group   *errgroup.Group

	mu      sync.Mutex
	mode    Mode
	mend    []func()
	changed chan struct{} // closed when the mode changes
	proxies map[string]*proxy.Proxy
	closed  bool
}

// DialContext connects to a server, or fails as the mode says.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	for {
		mode, changed := d.state()
		switch mode {
		case Reset, Refuse:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case Silent, OneWay:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		default:
			return d.connect(ctx, network, addr)
		}
	}
}

// Close fails dials from now on, and waits until all proxies have ended. Context must have ended.
func (d *Dialer) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	return d.Group.Wait()
}

// Cut sets the mode. None mends the partition.
func (d *Dialer) Cut(mode Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, mend := range d.mend {
		mend()
	}
	d.mode, d.mend = mode, nil
	for _, p := range d.proxies {
		d.impair(p)
	}
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Silent reports whether servers are silent to the box.
func (d *Dialer) Silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode == Silent || d.mode == OneWay
}

func (d *Dialer) state() (Mode, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.mode, d.changed
}

// connect connects to the proxy of a server that accepts connections.
func (d *Dialer) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	// The proxy accepts connections whether the server does or not.
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := conn.Close(); err != nil {
		return nil, err
	}
	p, err := d.proxyTo(addr)
	if err != nil {
		return nil, err
	}
	return dialer.DialContext(ctx, network, p.Addr())
}

func (d *Dialer) proxyTo(addr string) (*proxy.Proxy, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, fmt.Errorf("partition: %w", net.ErrClosed)
	}
	if p := d.proxies[addr]; p != nil {
		return p, nil
	}
	p := &proxy.Proxy{Target: addr, Clock: d.Clock, Logger: d.Logger}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("partition: %w", err)
	}
	if d.proxies == nil {
		d.proxies = make(map[string]*proxy.Proxy)
	}
	d.proxies[addr] = p
	d.Group.Go(func() error {
		if err := p.Run(d.Context); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("partition: %w", err)
		}
		return nil
	})
	d.impair(p)
	return p, nil
}

// impair applies the mode to the open connections of a proxy. It is called locked.
func (d *Dialer) impair(p *proxy.Proxy) {
	switch d.mode {
	case Silent:
		d.mend = append(d.mend, p.Impair(proxy.Fault{Forth: true, Back: true}))
	case OneWay:
		d.mend = append(d.mend, p.Impair(proxy.Fault{Back: true}))
	case Reset:
		d.mend = append(d.mend, p.Impair(proxy.Fault{Refuse: true}))
	default:
	}
}
