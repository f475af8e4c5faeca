package viewshare

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// slowListener fails Accept well before Close returns.
type slowListener struct {
	net.Listener

	closed atomic.Bool
}

func (l *slowListener) Close() error {
	err := l.Listener.Close()
	for range 100_000 {
		runtime.Gosched()
	}
	l.closed.Store(true)
	return err
}

// TestServeEndsAfterClose guards against a box that is started again before the address of the one
// before is free: "address already in use".
func TestServeEndsAfterClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: ln}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- newShare().Serve(ctx, slow) }()
	cancel()
	require.NoError(t, <-ended)
	require.True(t, slow.closed.Load())
}
