// Package peerrpc runs net/rpc between the system's own processes.
//
// With a certificate, a key and a CA, both sides authenticate by mutual TLS; without
// them only loopback peers are accepted. net/rpc has no deadlines: each call here
// gets one, and the connection of a call that timed out is closed.
package peerrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/dalebend/dalebend/internal/msglimit"
)

// Server serves the methods of one receiver. Set the exported fields before Run.
type Server struct {
	// Name and Receiver are registered with net/rpc.
	Name     string
	Receiver any
	// TLS holds the server's certificate and the peers' CA; nil accepts loopback only.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Run serves on the listener until ctx is done.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(s.Name, s.Receiver); err != nil {
		return fmt.Errorf("register %s: %w", s.Name, err)
	}
	s.mu.Lock()
	s.conns = make(map[net.Conn]struct{})
	s.mu.Unlock()
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = ln.Close()
		s.closeAll()
	})
	defer func() {
		if !stop() {
			// Accept fails before the address is free.
			<-closed
		}
	}()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peers: %w", err)
		}
		if s.TLS == nil && !loopback(c) {
			_ = c.Close()
			continue
		}
		if s.TLS != nil {
			c = tls.Server(c, s.TLS)
		}
		go s.serve(ctx, server, msglimit.New(c, maxMessageBytes))
	}
}

func (s *Server) serve(ctx context.Context, server *rpc.Server, c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if ctx.Err() != nil {
		_ = c.Close()
	}
	server.ServeConn(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func loopback(c net.Conn) bool {
	addr, ok := c.RemoteAddr().(*net.TCPAddr)
	return ok && addr.IP.IsLoopback()
}
