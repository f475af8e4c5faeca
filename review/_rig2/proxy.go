package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a server, until they are told to be silent.
type proxy struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	open map[*silentPair]bool
}

// silentPair is a connection through a proxy.
type silentPair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// newProxy listens on a host for connections to a server.
func newProxy(host, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, open: make(map[*silentPair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &silentPair{near: near, far: far}
		p.mu.Lock()
		p.open[c] = true
		p.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// silence makes the connections that are open now silent for good: nothing that either side sends, its end included,
// reaches the other one. It returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.open {
		c.mu.Lock()
		if !c.silent {
			c.silent = true
			n++
		}
		c.mu.Unlock()
	}
	p.open = make(map[*silentPair]bool)
	return n
}

// pass passes on what one side sends, and its end.
func (c *silentPair) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			return // neither side hears of the other again
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
