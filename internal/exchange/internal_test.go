package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// connectPair returns both ends of a connection.
func connectPair(t testing.TB) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// TestWriteTakesNothing: after a reset between the check of an idle connection and the write, no
// byte counts as sent.
func TestWriteTakesNothing(t *testing.T) {
	near, far := connectPair(t)
	c := &Client{Clock: clockwork.NewFakeClock()}
	p := c.poolOf("s1")
	p.open = 1
	conn, err := newConn(near, p, nil)
	require.NoError(t, err)
	require.True(t, conn.reusable())
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	x := start(context.Background(), c, conn, "s1.example")
	_, err = x.run(&Request{Method: "GET", URI: "/", Host: "h"})
	var f *Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, NotSent, f.Stage())
	require.True(t, f.Reset())
	require.Empty(t, c.pools)
}

// TestSocketOptions: the kernel monitors a connection for an unresponsive peer.
func TestSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := &Client{Clock: clockwork.NewFakeClock(), DialTimeout: time.Second}
	nc, err := c.dial(context.Background(), Target{Addr: l.Addr().String()}, c.paths().Connect)
	require.NoError(t, err)
	defer nc.Close()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	options := map[int]int{
		unix.TCP_USER_TIMEOUT: int(userTimeout / time.Millisecond),
		unix.TCP_KEEPIDLE:     int(keepAliveIdle / time.Second),
		unix.TCP_KEEPINTVL:    int(keepAliveInterval / time.Second),
		unix.TCP_KEEPCNT:      keepAliveCount,
		unix.TCP_NODELAY:      1,
	}
	require.NoError(t, raw.Control(func(fd uintptr) {
		for option, want := range options {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			require.Equal(t, want, got, option)
		}
	}))
}

// TestUploadIsPatient: while the server has not read a body, the longer user timeout applies.
func TestUploadIsPatient(t *testing.T) {
	near, far := connectPair(t)
	defer far.Close()
	c := &Client{Clock: clockwork.NewFakeClock()}
	p := c.poolOf("s1")
	p.open = 1
	conn, err := newConn(near, p, nil)
	require.NoError(t, err)
	_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	x := start(context.Background(), c, conn, "s1.example")
	resp, err := x.run(&Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, 8<<20)})
	require.NoError(t, err)
	require.Equal(t, uploadTimeout, userTimeoutOf(t, conn))
	require.NoError(t, resp.Body.Close())
	require.Empty(t, c.pools, "kept a connection with half a request")
}

func userTimeoutOf(t *testing.T, c *conn) time.Duration {
	var got int
	var err error
	require.NoError(t, c.raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	return time.Duration(got) * time.Millisecond
}

// TestNothingFits: a request of which no byte fits the connection's buffers was not sent.
func TestNothingFits(t *testing.T) {
	near, far := connectPair(t)
	defer far.Close()
	c := &Client{Clock: clockwork.NewFakeClock()}
	p := c.poolOf("s1")
	p.open = 1
	conn, err := newConn(near, p, nil)
	require.NoError(t, err)
	for full := false; !full; {
		n, err := conn.tryWrite(make([]byte, 1<<20))
		require.NoError(t, err)
		full = n == 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := start(ctx, c, conn, "s1.example")
	cancel()
	_, err = x.run(&Request{Method: "GET", URI: "/", Host: "h"})
	var f *Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, NotSent, f.Stage())
	require.ErrorIs(t, err, context.Canceled)
}

// TestResetIsNoCleanEnd: a reset reported to the write is not taken for the clean end of a body
// without a length.
func TestResetIsNoCleanEnd(t *testing.T) {
	br := bufio.NewReader(strings.NewReader("hello"))
	c := &closeReader{br: br, sent: &sending{err: unix.ECONNRESET}}
	got, err := io.ReadAll(c)
	require.Equal(t, "hello", string(got))
	require.ErrorIs(t, err, unix.ECONNRESET)
	require.False(t, c.clean())
}

// TestSweepGoesOn: the sweep for expired connections is rescheduled as long as any is idle.
func TestSweepGoesOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := &Client{Clock: clock, MaxIdlePerServer: 1}
	near, far := connectPair(t)
	defer far.Close()
	p := c.poolOf("s1")
	p.open = 1
	conn, err := newConn(near, p, nil)
	require.NoError(t, err)
	c.putIdle(conn, 2*sweepInterval)
	for range 2 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(sweepInterval)
	}
	_, err = far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	c.CloseIdle()
	require.Empty(t, c.pools)
}

// TestRequestHead: header fields that this package sets are not taken from the caller.
func TestRequestHead(t *testing.T) {
	r := &Request{
		Method: "POST", URI: "/a?b", Host: "h.example", Body: []byte("xyz"),
		Header: http.Header{
			"Host":              {"other"},
			"content-length":    {"5"},
			"Transfer-Encoding": {"chunked"},
			"A":                 {"1", "2"},
		},
	}
	require.NoError(t, r.validate())
	require.Equal(t, "POST /a?b HTTP/1.1\r\nHost: h.example\r\nA: 1\r\nA: 2\r\nContent-Length: 3\r\n\r\n",
		string(r.appendHead(nil)))
}

// errWouldWait stands for a read that would block.
var errWouldWait = errors.New("would wait")

// pieces returns one slice per read, as packets arrive.
type pieces struct {
	data      [][]byte
	delivered int
	reads     int
	before    func() // called before each read, if set
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.before != nil {
		p.before()
	}
	p.reads++
	if len(p.data) == 0 {
		return 0, errWouldWait
	}
	n := copy(b, p.data[0])
	p.delivered += n
	p.data[0] = p.data[0][n:]
	if len(p.data[0]) == 0 {
		p.data = p.data[1:]
	}
	return n, nil
}

// encodeChunks returns the encoded chunks, their data, and for each prefix length of the encoding
// how much data that prefix holds.
func encodeChunks(chunks [][]byte) (encoded, plain []byte, held []int) {
	for _, chunk := range chunks {
		encoded = fmt.Appendf(encoded, "%x\r\n", len(chunk))
		for len(held) < len(encoded) {
			held = append(held, len(plain))
		}
		for i, b := range chunk {
			held = append(held, len(plain)+i)
			encoded = append(encoded, b)
		}
		plain = append(plain, chunk...)
		encoded = append(encoded, "\r\n"...)
	}
	encoded = append(encoded, "0\r\n\r\n"...)
	for len(held) <= len(encoded) {
		held = append(held, len(plain))
	}
	return encoded, plain, held
}

// TestChunksNeverWaitWithData: however a chunked body is split into packets, all data that has
// arrived is returned before the reader blocks.
func TestChunksNeverWaitWithData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunk := rapid.SliceOfN(rapid.Byte(), 1, 20)
		encoded, plain, held := encodeChunks(rapid.SliceOfN(chunk, 0, 6).Draw(t, "chunks"))
		cut := rapid.IntRange(0, len(encoded)).Draw(t, "cut")
		in := &pieces{}
		for rest := encoded[:cut]; len(rest) > 0; {
			n := rapid.IntRange(1, min(len(rest), 12)).Draw(t, "packet")
			in.data = append(in.data, rest[:n])
			rest = rest[n:]
		}
		c := &chunkReader{br: bufio.NewReader(in)}
		buf := make([]byte, rapid.IntRange(1, 50).Draw(t, "buffer"))
		var got []byte
		in.before = func() {
			require.Equal(t, len(got), held[in.delivered], "waits with data at hand")
		}
		for {
			n, err := c.Read(buf)
			got = append(got, buf[:n]...)
			if err != nil {
				break
			}
			require.Positive(t, n)
		}
		require.Equal(t, cut == len(encoded), c.clean())
		require.Equal(t, string(plain[:held[cut]]), string(got))
	})
}

// TestEventCostsOneRead: an event that arrives in one packet costs one read of the connection.
func TestEventCostsOneRead(t *testing.T) {
	const events = 20
	in := &pieces{}
	for range events {
		in.data = append(in.data, []byte("a\r\ndata: abc\n\r\n"))
	}
	c := &chunkReader{br: bufio.NewReader(in)}
	buf := make([]byte, 1000)
	for i := range events {
		n, err := c.Read(buf)
		require.NoError(t, err)
		require.Equal(t, "data: abc\n", string(buf[:n]))
		require.Equal(t, i+1, in.reads)
	}
}

// TestManyCallers: many callers, some of whom leave at any time, get their own answers, stay within
// the connection limit, and leave nothing behind.
func TestManyCallers(t *testing.T) {
	const callers, rounds, limit = 16, 40, 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(body)
		}
	})}
	go func() { _ = srv.Serve(l) }()
	c := &Client{Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdlePerServer: 2}
	target := Target{Key: "s1", Addr: l.Addr().String(), MaxConns: limit}
	var served atomic.Int64
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for round := range rounds {
				text := strings.Repeat(fmt.Sprintf("%d.%d,", caller, round), 1+(caller*round)%20000)
				if callOnce(t, c, target, text, (caller+round)%3 == 0) {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, served.Load())
	c.CloseIdle()
	require.Empty(t, c.pools)
	require.NoError(t, srv.Close())
}

// callOnce sends the text and compares the answer. It reports whether there was one.
func callOnce(t *testing.T, c *Client, target Target, text string, leaves bool) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaves {
		go cancel()
	}
	resp, err := c.Do(ctx, target, &Request{Method: "POST", URI: "/", Host: "h", Body: []byte(text)})
	c.mu.Lock()
	for _, p := range c.pools {
		if p.open > target.MaxConns {
			t.Errorf("%d open connections", p.open)
		}
	}
	c.mu.Unlock()
	var f *Failure
	if errors.As(err, &f) {
		expected := f.Stage() == NoConnection || (leaves && errors.Is(err, context.Canceled))
		if !expected {
			t.Errorf("call failed: %v", err)
		}
		return false
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && string(got) != text {
		t.Error("answer differs")
	}
	if err != nil && !leaves {
		t.Errorf("body failed: %v", err)
	}
	return err == nil
}
