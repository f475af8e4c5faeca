package tcpopt_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/dalebend/dalebend/internal/tcpopt"
)

// TestSetUserTimeout: the kernel holds the limit in milliseconds, refuses a
// negative one, and a closed connection is an error.
func TestSetUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)

	require.NoError(t, tcpopt.SetUserTimeout(raw, 1500*time.Millisecond))
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.Equal(t, 1500, got)
	}))
	require.ErrorIs(t, tcpopt.SetUserTimeout(raw, -time.Second), unix.EINVAL)

	require.NoError(t, conn.Close())
	require.ErrorIs(t, tcpopt.SetUserTimeout(raw, time.Second), net.ErrClosed)
}
