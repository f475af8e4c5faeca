package endpoint

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/tcpopt"
	"github.com/dalebend/dalebend/internal/tunnel"
)

const (
	// upBufferBytes is the size of the buffer for what goes to the server: most requests fit.
	upBufferBytes = 4 << 10
	// lingerTime is how long the near end may take to close after the server has. Closing earlier
	// could discard bytes that it has not read yet.
	lingerTime = time.Second
	// uploadTimeout is how long bytes of a long body may remain unacknowledged by the server, as on
	// direct connections.
	uploadTimeout = 10 * time.Second
	// nearTimeout is how long bytes for the near end may remain unacknowledged. It allows for callers
	// that read slowly, and ends the tunnels of a box that is gone.
	nearTimeout = 30 * time.Second
)

// splice passes bytes on both ways until either end is closed. br holds what was already read from
// near.
func splice(clock clockwork.Clock, near net.Conn, br io.Reader, far net.Conn) {
	up := make(chan struct{})
	go func() {
		defer close(up)
		passUp(br, far)
	}()
	if !passDown(near, far) {
		abort(near)
		<-up
		return
	}
	timer := clock.AfterFunc(lingerTime, func() { discard(near) })
	defer timer.Stop()
	<-up
}

// passUp passes bytes to the server until the near end closes, and then closes the server's
// connection: the request is over or its caller has left.
func passUp(near io.Reader, far net.Conn) {
	defer discard(far)
	buf := make([]byte, upBufferBytes)
	if _, err := io.CopyBuffer(&patientWriter{conn: far}, onlyReader{near}, buf); err == nil {
		return
	}
	// A server that reads no more may still be sending its answer.
	_, _ = io.CopyBuffer(onlyWriter{io.Discard}, onlyReader{near}, buf)
}

// patientWriter gives a server more time to read a long body.
type patientWriter struct {
	conn    net.Conn
	patient bool
}

// Write implements io.Writer.
func (w *patientWriter) Write(p []byte) (int, error) {
	if !w.patient && len(p) == upBufferBytes {
		w.patient = true
		if err := setUserTimeout(w.conn, uploadTimeout); err != nil {
			return 0, err
		}
	}
	return w.conn.Write(p)
}

func setUserTimeout(conn net.Conn, limit time.Duration) error {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	return tcpopt.SetUserTimeout(raw, limit)
}

// passDown passes bytes of the server on in frames, and reports whether it ended with the server's
// own end of the connection.
func passDown(near, far net.Conn) bool {
	buf := make([]byte, tunnel.HeaderBytes+tunnel.MaxFrameBytes)
	for {
		n, err := far.Read(buf[tunnel.HeaderBytes:])
		if n > 0 {
			tunnel.PutHeader(buf, n)
			if _, err := near.Write(buf[:tunnel.HeaderBytes+n]); err != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			tunnel.PutHeader(buf, 0)
			_, err := near.Write(buf[:tunnel.HeaderBytes])
			return err == nil
		}
		if err != nil {
			return false
		}
	}
}

// abort closes a connection with a reset, so that what it carried doesn't seem complete.
func abort(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // without it the end of a tunnel is still no clean one
	}
	discard(conn)
}

// onlyWriter and onlyReader hide other methods, by which io.CopyBuffer would not use its buffer.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)
