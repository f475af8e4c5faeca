package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/outcome"
)

// counters of requests by outcome, and of what happened to streams.
type counters struct {
	outcomes   [4]metrics.Counter
	bad        metrics.Counter
	tokens     metrics.Counter
	resumed    metrics.Counter
	retried    metrics.Counter
	callerGone metrics.Counter
	repeats    metrics.Counter
	firstToken metrics.Timer
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		bad:        metrics.GetOrRegisterCounter("gateway.bad_requests", r),
		tokens:     metrics.GetOrRegisterCounter("gateway.tokens", r),
		resumed:    metrics.GetOrRegisterCounter("gateway.streams_resumed", r),
		retried:    metrics.GetOrRegisterCounter("gateway.retries", r),
		callerGone: metrics.GetOrRegisterCounter("gateway.callers_gone", r),
		repeats:    metrics.GetOrRegisterCounter("gateway.repeats_dropped", r),
		firstToken: metrics.GetOrRegisterTimer("gateway.first_token", r),
	}
	for o := range c.outcomes {
		name := "gateway.outcome." + outcome.Outcome(o).String()
		c.outcomes[o] = metrics.GetOrRegisterCounter(name, r)
	}
	return c
}

func (c *counters) end(o outcome.Outcome) { c.outcomes[o].Inc(1) }
