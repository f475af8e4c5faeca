package peerrpc_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/peerrpc"
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

// TestRunEndsAfterClose guards against a server that is started again before the address of the one
// before is free: "address already in use".
func TestRunEndsAfterClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: ln}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&peerrpc.Server{Name: "Echo", Receiver: &Echo{}}).Run(ctx, slow) }()
	cancel()
	require.NoError(t, <-ended)
	require.True(t, slow.closed.Load())
}
