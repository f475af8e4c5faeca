package exchange

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/headcost"
)

const (
	// sweepInterval is the interval between searches for expired idle connections. It is well below
	// the usual idle timeout of servers, so that few of them have to close a connection themselves.
	sweepInterval = time.Second
)

// Client sends requests to backend servers and pools connections to them. Set the exported fields
// before the first use. Its methods may be called concurrently.
type Client struct {
	// Clock is used for the dial timeout and the age of connections.
	Clock clockwork.Clock
	// Logger gets warnings for operators. Nil discards them.
	Logger *slog.Logger
	// Metrics counts dials, reuses and refusals under "exchange.". It may be nil.
	Metrics metrics.Registry
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// MaxIdlePerServer bounds the idle connections to one server. 0 keeps none.
	MaxIdlePerServer int
	// Dialer dials servers. Nil uses TCP with time-outs that detect a dead server.
	Dialer Dialer
	// Heads bounds what the heads of all answers take in memory. Nil bounds nothing.
	Heads *headcost.Budget
	// Paths chooses how servers are reached. Nil connects directly.
	Paths Paths

	mu    sync.Mutex
	pools map[string]*pool // by Target.Key
	sweep clockwork.Timer  // nil while no connection is idle

	countersOnce sync.Once
	counted      *counters
}

// Do sends one request and returns once the head of its answer was read. The caller closes the body
// of the response. An error is a *Failure; it wraps the error of ctx if that ended the exchange.
// The end of ctx closes the connection at any time, also while the body is read.
func (c *Client) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	if err := r.validate(); err != nil {
		return nil, newFailure(NotSent, t.Addr, err)
	}
	if isDone(ctx) {
		return nil, newFailure(NotSent, t.Addr, contextError(ctx))
	}
	conn, err := c.connect(ctx, t, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	if err := r.beforeSend(); err != nil {
		conn.close()
		c.release(conn.pool)
		return nil, newFailure(Withheld, t.Addr, err)
	}
	x := start(ctx, c, conn, t.Addr)
	return x.run(r)
}

// Retain closes the idle connections of all servers whose key isn't in keys, and
// those in use when their requests end.
func (c *Client) Retain(keys map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		p.retired = !keys[key]
		if p.retired {
			p.closeIdle()
			c.forgetEmpty(p)
		}
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
		c.forgetEmpty(p)
	}
	c.stopSweep()
}

// connect returns an idle connection to the server or dials a new one.
func (c *Client) connect(ctx context.Context, t Target, fresh time.Duration) (*conn, error) {
	conn, p := c.acquire(t, fresh)
	if conn != nil {
		c.counters().reused.Inc(1)
		return conn, nil
	}
	if p == nil {
		c.counters().full.Inc(1)
		return nil, newFailure(NoConnection, t.Addr, errNoConnection)
	}
	c.counters().dialed.Inc(1)
	conn, err := c.open(ctx, t, p)
	if err != nil {
		c.counters().dialFailed.Inc(1)
		c.release(p)
		return nil, newFailure(NotSent, t.Addr, err)
	}
	return conn, nil
}

// open dials a connection that p already counts.
func (c *Client) open(ctx context.Context, t Target, p *pool) (*conn, error) {
	nc, err := c.dial(ctx, t, c.paths().Connect)
	if err != nil {
		return nil, err
	}
	conn, err := newConn(nc, p, c.Heads)
	if err != nil {
		_ = nc.Close() // the first error counts
		return nil, err
	}
	return conn, nil
}

// acquire returns an idle connection, the pool in which one to be dialed is already counted, or
// neither if the server's connection limit is reached.
func (c *Client) acquire(t Target, fresh time.Duration) (*conn, *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.poolOf(t.Key)
	if conn := p.take(fresh, c.Clock.Now(), c.paths().Usable); conn != nil {
		return conn, nil
	}
	if !p.reserve(t.MaxConns) {
		return nil, nil
	}
	return nil, p
}

func (c *Client) poolOf(key string) *pool {
	p := c.pools[key]
	if p != nil {
		return p
	}
	if c.pools == nil {
		c.pools = make(map[string]*pool)
	}
	p = &pool{key: key}
	c.pools[key] = p
	return p
}

// release uncounts a connection that was closed or never opened.
func (c *Client) release(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.open--
	c.forgetEmpty(p)
}

// putIdle returns a connection to its pool, where it may stay idle for the given time.
func (c *Client) putIdle(conn *conn, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.idleSince = c.Clock.Now()
	conn.expires = conn.idleSince.Add(idle)
	p := conn.pool
	if p.retired {
		p.discard(conn)
		c.forgetEmpty(p)
		return
	}
	p.putIdle(conn, c.MaxIdlePerServer)
	c.forgetEmpty(p)
	c.startSweep()
}

// forgetEmpty removes a pool without connections.
func (c *Client) forgetEmpty(p *pool) {
	if p.open == 0 && c.pools[p.key] == p {
		delete(c.pools, p.key)
	}
}

// startSweep schedules the next search for expired connections.
func (c *Client) startSweep() {
	if c.sweep == nil {
		c.sweep = c.Clock.AfterFunc(sweepInterval, c.expire)
	}
}

func (c *Client) stopSweep() {
	if c.sweep != nil {
		c.sweep.Stop()
		c.sweep = nil
	}
}

// expire closes expired connections and reschedules itself while any is idle.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	idle := 0
	for _, p := range c.pools {
		p.expire(now, c.paths().Usable)
		idle += len(p.idle)
		c.forgetEmpty(p)
	}
	c.sweep = nil
	if idle > 0 {
		c.startSweep()
	}
}

func (c *Client) log() *slog.Logger {
	if c.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return c.Logger
}
