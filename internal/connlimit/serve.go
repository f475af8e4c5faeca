package connlimit

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve serves a listener by an HTTP server with a handler, whose ConnContext and ConnState it sets.
func (l *Limiter) Serve(server *http.Server, ln net.Listener) error {
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !connOf(r.Context().Value(connKey{})).Begin(r.Header) {
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			connOf(nc).End()
		}
	}
	return server.Serve(l.Listen(ln))
}

// connOf returns the connection that a Limiter counts, or nil.
func connOf(nc any) *Conn {
	c, _ := nc.(*Conn)
	return c
}
