// Package httpserve runs a fasthttp server until a context ends.
package httpserve

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// stopTime is how long calls that run may take after the context ended.
const stopTime = time.Second

// Serve serves on the listener until ctx ends, then closes every connection. It is
// for servers that lose nothing by that; the gateway drains instead.
func Serve(ctx context.Context, ln net.Listener, server *fasthttp.Server) error {
	server.NoDefaultServerHeader = true
	server.CloseOnShutdown = true
	server.Logger = quiet{}
	conns := NewListener(ln)
	done := make(chan error, 1)
	go func() { done <- server.Serve(conns) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve on %s: %w", ln.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	if server.ShutdownWithContext(stop) != nil {
		// The library leaves open what still runs after the time.
		conns.Cut()
	}
	return nil
}

// quiet drops the log lines of the HTTP library: counters tell of bad connections.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}
