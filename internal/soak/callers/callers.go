package callers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
)

const (
	// successStatus is that of streams that are read event by event.
	successStatus = http.StatusOK
	// mostPause is the longest pause of a caller between two requests, and
	// probePause that of a probe.
	mostPause  = 120 * time.Millisecond
	probePause = 250 * time.Millisecond
	// keepFor is how many requests a caller sends on a connection in the mean, unless
	// it ends before.
	keepFor = 40
	// probeStream is what the generators of probes add to their seed.
	probeStream = 1 << 20
)

// Callers sends requests. Set the fields before Call and Probe.
type Callers struct {
	Balancer *Balancer
	// Recent returns the numbers of the latest versions.
	Recent func() []int64
	// Seed is that of the run; each caller and probe draws from a part of its own.
	Seed   uint64
	Clock  clockwork.Clock
	Record *history.Recorder
	Logger *slog.Logger
}

// Call sends the requests of one caller until the context ends.
func (s *Callers) Call(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)))
	c := s.caller(func() *Box { return s.Balancer.pick(rng) })
	defer c.leave()
	for n := 0; pause.For(ctx, s.Clock, time.Duration(rng.Int64N(int64(mostPause)))); n++ {
		if rng.IntN(keepFor) == 0 {
			c.leave()
		}
		c.do(ctx, draw(rng, fmt.Sprintf("call-%d-%d", number, n)))
	}
	return nil
}

// Probe sends probes to one box until the context ends.
func (s *Callers) Probe(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)+probeStream))
	box := s.Balancer.Boxes[number]
	c := s.caller(func() *Box { return box })
	defer c.leave()
	for n := 0; pause.For(ctx, s.Clock, probePause); n++ {
		c.do(ctx, probe(rng, fmt.Sprintf("probe-%d-%d", number, n), s.Recent()))
	}
	return nil
}

func (s *Callers) caller(choose func() *Box) *caller {
	return &caller{clock: s.Clock, record: s.Record, logger: s.Logger, choose: choose}
}
