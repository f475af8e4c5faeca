package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/pause"
)

const (
	// deadlyLeast and deadlyMore bound the pause of a caller whose request ends servers, so that three
	// have ended some seconds before the shortest run is over.
	deadlyLeast = 200 * time.Millisecond
	deadlyMore  = 400 * time.Millisecond
	// deadlyStream is what the generators of such callers add to their seed, segmentStream that of those
	// whose requests have a deadly prompt segment.
	deadlyStream  = 2 << 20
	segmentStream = 3 << 20
)

// CallDeadlySegment sends requests, no two alike, with a prompt segment that crashes servers, until the
// context ends, each to whichever box.
func (s *Callers) CallDeadlySegment(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)+segmentStream))
	c := s.caller(func() *Box { return s.Balancer.pick(rng) })
	defer c.leave()
	for n := 0; pause.For(ctx, s.Clock, deadlyLeast+time.Duration(rng.Int64N(int64(deadlyMore)))); n++ {
		id := fmt.Sprintf("segment-%d-%d", number, n)
		o := newOrder(rng, id, operator.ChatHost, operator.BaseKey)
		o.Segments = backends.DeadlySegments(id)
		c.do(ctx, o)
		c.leave()
	}
	return nil
}

// CallDeadly sends one request that ends servers, again and again until the context ends: each time
// with a new id, at whichever box.
func (s *Callers) CallDeadly(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)+deadlyStream))
	hosts := []string{operator.ChatHost, operator.ManyHost, operator.OnceHost}
	host := hosts[rng.IntN(len(hosts))]
	uri := fmt.Sprintf("/deadly/%d", number)
	c := s.caller(func() *Box { return s.Balancer.pick(rng) })
	defer c.leave()
	for n := 0; pause.For(ctx, s.Clock, deadlyLeast+time.Duration(rng.Int64N(int64(deadlyMore)))); n++ {
		o := newOrder(rng, fmt.Sprintf("deadly-%d-%d", number, n), host, operator.BaseKey)
		o.Method, o.URI, o.Body = http.MethodPost, uri, backends.DeadlyBody
		if host == operator.ChatHost {
			o.Segments = backends.Segments(uri)
		}
		c.do(ctx, o)
		c.leave()
	}
	return nil
}
