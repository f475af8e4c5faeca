package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/pause"
)

const (
	// minIdle and maxIdle bound how long a connection is idle between two requests: many are sent to
	// a box whose planned stop began seconds ago.
	minIdle = 500 * time.Millisecond
	maxIdle = 5 * time.Second
	// idleStream is what the generators of these callers add to their seed.
	idleStream = 1 << 22
)

// CallIdle sends requests for engines on connections that have been idle, until the context ends. It keeps
// a connection until the box closes it or says that it will.
func (s *Callers) CallIdle(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)+idleStream))
	c := s.caller(func() *Box { return s.Balancer.pick(rng) })
	defer c.leave()
	for n := 0; c.connect(ctx) || ctx.Err() == nil; n++ {
		if !pause.For(ctx, s.Clock, minIdle+time.Duration(rng.Int64N(int64(maxIdle-minIdle)))) {
			break
		}
		c.do(ctx, newOrder(rng, fmt.Sprintf("rested-%d-%d", number, n), operator.ChatHost, operator.BaseKey))
	}
	return nil
}
