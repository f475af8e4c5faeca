package exchange

import "github.com/rcrowley/go-metrics"

// counters are the client's metrics.
type counters struct {
	dialed     metrics.Counter
	dialFailed metrics.Counter
	reused     metrics.Counter
	full       metrics.Counter
	surplus    metrics.Counter
}

func (c *Client) counters() *counters {
	c.countersOnce.Do(func() {
		registry := c.Metrics
		if registry == nil {
			registry = metrics.NewRegistry()
		}
		c.counted = newCounters(registry)
	})
	return c.counted
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		dialed:     metrics.GetOrRegisterCounter("exchange.dialed", r),
		dialFailed: metrics.GetOrRegisterCounter("exchange.dial_failed", r),
		reused:     metrics.GetOrRegisterCounter("exchange.reused", r),
		full:       metrics.GetOrRegisterCounter("exchange.full", r),
		surplus:    metrics.GetOrRegisterCounter("exchange.surplus_answers", r),
	}
}
