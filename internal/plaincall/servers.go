package plaincall

import (
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/health"
)

// serverState is the state of one backend server.
type serverState struct {
	health.Health

	inFlight int
	leaving  bool
}

// state returns the state of a server; the lock must be held.
func (c *Client) state(name string) *serverState {
	st := c.servers[name]
	if st == nil {
		st = &serverState{}
		c.servers[name] = st
	}
	return st
}

// pick takes the less loaded of two random servers; on a tie it prefers this box's failure domain.
// Failing servers are excluded, unless they are more than half of the service's. The server to
// avoid is used only if no other is left.
func (c *Client) pick(service *fleet.Service, avoid string) *fleet.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var in, ejected []*fleet.BackendServer
	var last *fleet.BackendServer
	for _, b := range service.Servers() {
		st := c.state(b.Name())
		switch {
		case b.Draining() || st.leaving:
		case b.Name() == avoid:
			last = b
		case st.Out(now):
			ejected = append(ejected, b)
		default:
			in = append(in, b)
		}
	}
	if len(ejected) > len(in) {
		in = append(in, ejected...)
	}
	if len(in) == 0 {
		return last
	}
	return c.better(in[c.rng.IntN(len(in))], in[c.rng.IntN(len(in))])
}

func (c *Client) better(a, b *fleet.BackendServer) *fleet.BackendServer {
	x, y := c.state(a.Name()).inFlight, c.state(b.Name()).inFlight
	switch {
	case x < y:
		return a
	case y < x:
		return b
	case b.FailureDomain() == c.Domain:
		return b
	default:
		return a
	}
}

func (c *Client) begin(server *fleet.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(server.Name()).inFlight++
}

func (c *Client) end(server *fleet.BackendServer, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state(server.Name())
	st.inFlight--
	now := c.Clock.Now()
	if ok {
		st.Succeed(now)
		return
	}
	st.Fail(now)
}

// SetLeaving records whether the box list marks a backend server as leaving.
func (c *Client) SetLeaving(server string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(server).leaving = leaving
}
