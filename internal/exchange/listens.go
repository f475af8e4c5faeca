package exchange

import "context"

// Listens dials a server and closes the connection immediately. It returns an error if nothing
// accepts it; the error wraps ErrNoPath if that isn't
// certain. The connection does not count against the server's connection limit.
func (c *Client) Listens(ctx context.Context, t Target) error {
	c.counters().dialed.Inc(1)
	conn, err := c.dial(ctx, t, c.paths().Check)
	if err != nil {
		c.counters().dialFailed.Inc(1)
		return err
	}
	return conn.Close()
}
