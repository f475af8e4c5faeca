package exchange

import "context"

// Listens dials a server and closes the connection at once. It returns an error if nobody accepts.
// It doesn't count against the bound on the server's connections.
func (c *Client) Listens(ctx context.Context, addr string) error {
	c.counters().dialed.Inc(1)
	conn, err := c.dial(ctx, addr)
	if err != nil {
		c.counters().dialFailed.Inc(1)
		return err
	}
	return conn.Close()
}
