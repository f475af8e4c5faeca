package front_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/front"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/unary"
)

// Headers of the test protocol.
const (
	headerID   = "X-Id"
	headerKey  = "X-Key"
	headerWait = "X-Wait"
	headerHint = "X-Hint"
	headerMost = "X-Most"
	headerBad  = "X-Bad"
)

// wire reads the headers of the test protocol.
type wire struct{}

func (wire) Parse(r *request.Request) error {
	r.ID = r.Header.Get(headerID)
	r.Key = r.Header.Get(headerKey)
	if r.Header.Get(headerBad) != "" {
		return errors.New("a header cannot be read")
	}
	var err error
	if text := r.Header.Get(headerWait); text != "" {
		r.Timeout, err = time.ParseDuration(text)
	}
	return errors.Join(err, number(r, headerHint, &r.HintTokens), number(r, headerMost, &r.MaxTokens))
}

func number(r *request.Request, name string, to *int) (err error) {
	if text := r.Header.Get(name); text != "" {
		*to, err = strconv.Atoi(text)
	}
	return err
}

func (wire) Identify(h http.Header, id string) { h.Set(headerID, id) }

// singles answers unary requests.
type singles func(ctx context.Context, j *unary.Job) (*unary.Answer, error)

func (f singles) Do(ctx context.Context, j *unary.Job) (*unary.Answer, error) { return f(ctx, j) }

// streams answers requests with streams.
type streams func(ctx context.Context, j *streaming.Job, sink streaming.Sink) error

func (f streams) Serve(ctx context.Context, j *streaming.Job, sink streaming.Sink) error {
	return f(ctx, j, sink)
}

// rig is a front with one unary service and one with engines.
type rig struct {
	*front.Server

	t      *testing.T
	clock  *clockwork.FakeClock
	addr   string
	recent atomic.Bool
	table  atomic.Pointer[routetable.Table]
	cancel context.CancelFunc
	ended  chan error
}

// newRig starts the clock in a year that no deadline of a real connection reaches.
func newRig(t *testing.T) *rig {
	return newRigAt(t, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))
}

func newRigAt(t *testing.T, now time.Time) *rig {
	return newRigWith(t, now, bufferlimit.Limits{})
}

// newRigWith sets buffer limits.
func newRigWith(t *testing.T, now time.Time, limits bufferlimit.Limits) *rig {
	return startRig(t, now, limits, func(ln net.Listener) net.Listener { return smallListener{ln} })
}

// newRigOn wraps the listener.
func newRigOn(t *testing.T, wrap func(net.Listener) net.Listener) *rig {
	return startRig(t, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC), bufferlimit.Limits{}, wrap)
}

func startRig(t *testing.T, now time.Time, limits bufferlimit.Limits, wrap func(net.Listener) net.Listener) *rig {
	r := &rig{t: t, clock: clockwork.NewFakeClockAt(now), ended: make(chan error, 1)}
	r.recent.Store(true)
	r.use(spec())
	r.Server = &front.Server{
		Clock: r.clock, Logger: slog.New(slog.DiscardHandler), Codec: wire{},
		Unary: singles(func(context.Context, *unary.Job) (*unary.Answer, error) { return answer(http.StatusOK, "good"), nil }),
		Table: r.table.Load, ConfigRecent: r.recent.Load,
		Buffers: &bufferlimit.Accounting{Clock: r.clock, Limits: limits},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.ended <- r.Run(ctx, wrap(ln)) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-r.ended)
	})
	return r
}

// spec is the configuration: plain.test/, plain.test/quick/ and chat.test/.
func spec() routetable.Spec {
	return routetable.Spec{
		Version: 1,
		Routes: []routetable.Route{
			{Name: "plain", Host: "plain.test", PathPrefix: "/", Targets: []routetable.Target{{Service: "plain", Weight: 1}}, Priority: 3},
			{
				Name: "quick", Host: "plain.test", PathPrefix: "/quick/", Timeout: 2 * time.Second,
				Targets: []routetable.Target{{Service: "plain", Weight: 1}},
			},
			{
				Name: "chat", Host: "chat.test", PathPrefix: "/", Stream: true, Objective: 500 * time.Millisecond, Priority: 4,
				Targets: []routetable.Target{{Service: "chat", Weight: 1}}, Timeout: time.Minute,
			},
		},
		Services: []routetable.Service{{Name: "plain"}, {Name: "chat", Engine: &routetable.Engine{Slots: 1}}},
	}
}

func (r *rig) use(s routetable.Spec) {
	table, err := routetable.New(s)
	require.NoError(r.t, err)
	r.table.Store(table)
}

func answer(status int, body string) *unary.Answer {
	return &unary.Answer{Status: status, Header: http.Header{}, Body: []byte(body)}
}

// capture makes the unary handler record its jobs.
func (r *rig) capture() <-chan *unary.Job {
	jobs := make(chan *unary.Job, 10)
	r.Unary = singles(func(_ context.Context, j *unary.Job) (*unary.Answer, error) {
		jobs <- j
		return answer(http.StatusOK, "good"), nil
	})
	return jobs
}

// smallBuffer is the size of the send buffer of a connection, so that a caller that does not read
// is noticed soon.
const smallBuffer = 128 << 10

// smallListener gives connections a small buffer.
type smallListener struct{ net.Listener }

func (l smallListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return nc, nc.(*net.TCPConn).SetWriteBuffer(smallBuffer)
}

// caller is a caller with one connection.
type caller struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (r *rig) call() *caller {
	conn, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() }) // may be closed by the test already
	return &caller{t: r.t, Conn: conn, in: bufio.NewReader(conn)}
}

// send writes a request, whose lines may end with a plain line feed.
func (c *caller) send(text string) *caller {
	c.t.Helper()
	head, body, _ := strings.Cut(text, "\n\n")
	_, err := io.WriteString(c.Conn, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body)
	require.NoError(c.t, err)
	return c
}

// reply is an answer that was read to its end.
type reply struct {
	*http.Response
	text string
	// err is the error at the end of the body, if any.
	err error
}

// head reads the head of an answer.
func (c *caller) head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	return resp
}

func (c *caller) read() *reply {
	c.t.Helper()
	resp := c.head()
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // the error of the read counts
	return &reply{Response: resp, text: string(body), err: err}
}

// get sends a GET and reads the answer.
func (r *rig) get(host, path string, headers ...string) *reply {
	r.t.Helper()
	head := "GET " + path + " HTTP/1.1\nHost: " + host + "\n" + headerID + ": q1"
	for _, h := range headers {
		head += "\n" + h
	}
	got := r.call().send(head + "\n\n").read()
	require.NoError(r.t, got.err)
	return got
}

// awaitClosed reads until the connection ends.
func (c *caller) awaitClosed() {
	c.t.Helper()
	_, err := io.Copy(io.Discard, c.in)
	require.NoError(c.t, err)
}
