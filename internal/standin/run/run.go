// Package run starts one stand-in as a process of its own.
package run

import (
	"context"
	"fmt"
	"net"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/standin/boxlist"
	"github.com/dalebend/dalebend/internal/standin/engine"
	"github.com/dalebend/dalebend/internal/standin/objectstore"
	"github.com/dalebend/dalebend/internal/standin/plain"
	"github.com/dalebend/dalebend/internal/standin/weightstore"
)

// runner is a stand-in.
type runner interface {
	Run(ctx context.Context, ln net.Listener) error
}

// Run serves the stand-in that the settings name until ctx ends.
func Run(ctx context.Context, s *settings.Standin) error {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return build(s).Run(ctx, ln)
}

func build(s *settings.Standin) runner {
	clock := clockwork.NewRealClock()
	switch s.Role {
	case "engine":
		e := &engine.Engine{
			Name: s.Name, KVTokens: s.KVTokens, MaxBatch: s.MaxBatch, DecodeStep: s.DecodeStep,
			LoadLag: s.LoadLag, ChecksFence: s.ChecksFence, Models: s.Models, Clock: clock,
		}
		if s.Weights != "" {
			e.Weights = func(_ context.Context, model string) error { return weightstore.Read(s.Weights, model) }
		}
		return e
	case "plain":
		return &plain.Server{Name: s.Name, Delay: s.Delay, Clock: clock}
	case "object-api":
		return &objectstore.Store{Clock: clock}
	case "weight-store":
		return &weightstore.Store{Rate: s.Rate, Clock: clock}
	default:
		return &boxlist.Server{Lag: s.Lag, Clock: clock}
	}
}
