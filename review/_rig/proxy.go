package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes TCP connections on. While it is cut, no byte passes either way, and new connections get no
// answer, as behind a partition.
type Proxy struct {
	target string
	ln     net.Listener

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
	used time.Time // when bytes last went to the target
	open map[net.Conn]struct{}
	done bool
}

// NewProxy starts a proxy.
func NewProxy(addr, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln, open: make(map[net.Conn]struct{})}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Cut starts or ends a partition.
func (p *Proxy) Cut(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = is
	p.cond.Broadcast()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for c := range p.open {
		_ = c.Close()
	}
	p.cond.Broadcast()
}

// wait returns once nothing is held up; false if the proxy has ended.
func (p *Proxy) wait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut && !p.done {
		p.cond.Wait()
	}
	return !p.done
}

func (p *Proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
}

func (p *Proxy) serve(near net.Conn) {
	p.track(near)
	if !p.wait() {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.track(far)
	go p.pump(near, far, true)
	p.pump(far, near, false)
}

// Used returns when bytes last went to the target.
func (p *Proxy) Used() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

func (p *Proxy) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = time.Now()
}

func (p *Proxy) pump(from, to net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.wait() {
			return
		}
		if n > 0 {
			if up {
				p.touch()
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
