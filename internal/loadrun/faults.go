package loadrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/periodic"
	"github.com/dalebend/dalebend/internal/standin/fault"
)

const (
	faultEvery = 400 * time.Millisecond
	faultLasts = 1200 * time.Millisecond
	// spared is how many engines are never struck, so that something is left to serve.
	spared = 4
)

// faultKind is one way to misbehave.
type faultKind struct {
	name    string
	setting fault.Setting
}

// engineFaults and plainFaults are drawn from at random; two may strike one server
// after another, and several servers at once.
func engineFaults() []faultKind {
	return []faultKind{
		{"engine dead", fault.Setting{Dead: true}},
		{"engine unavailable", fault.Setting{Unavailable: true}},
		{"engine late", fault.Setting{LateMS: 300}},
		{"engine stream cut", fault.Setting{CutEvery: 9}},
		{"engine stream stalled", fault.Setting{CutEvery: 20, StallMS: 700}},
	}
}

func plainFaults() []faultKind {
	return []faultKind{
		{"plain dead", fault.Setting{Dead: true}},
		{"plain unavailable", fault.Setting{Unavailable: true}},
		{"plain late", fault.Setting{LateMS: 2500}},
		{"plain answer lost", fault.Setting{LoseAnswerEvery: 2}},
	}
}

// injector causes faults at random, from a seed.
type injector struct {
	bench  *bench
	rng    *rand.Rand
	counts map[string]int
}

// run causes faults until ctx ends, then mends everything.
func (i *injector) run(ctx context.Context) {
	periodic.Run(ctx, i.bench.clock, faultEvery, func() { i.strike(ctx) })
}

// strike causes one fault.
func (i *injector) strike(ctx context.Context) {
	switch i.rng.IntN(5) {
	case 0:
		if len(i.bench.plain) > 0 {
			p := i.bench.plain[i.rng.IntN(len(i.bench.plain))]
			i.set(ctx, &p.Faults, plainFaults())
		}
	case 1:
		box := i.rng.IntN(len(i.bench.listeners))
		cut := i.bench.listeners[box].Cut()
		i.counts["box cut off from its callers"]++
		i.counts["caller connections cut"] += cut
	default:
		e := i.bench.engines[i.rng.IntN(len(i.bench.engines)-spared)]
		i.set(ctx, &e.Faults, engineFaults())
	}
}

// set lets a server misbehave for a while.
func (i *injector) set(ctx context.Context, s *fault.Switch, kinds []faultKind) {
	k := kinds[i.rng.IntN(len(kinds))]
	i.counts[k.name]++
	s.Set(k.setting)
	go func() {
		select {
		case <-ctx.Done():
		case <-i.bench.clock.After(faultLasts):
		}
		s.Set(fault.Setting{})
	}()
}

// String lists what was caused.
func (i *injector) String() string {
	var parts []string
	for name, n := range i.counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
