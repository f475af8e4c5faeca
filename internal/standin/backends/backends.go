// Package backends starts a stand-in for every backend server of a fleet file.
package backends

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/standin/engine"
	"github.com/dalebend/dalebend/internal/standin/plain"
)

const (
	plainDelay = 2 * time.Millisecond
	loadLag    = time.Second
)

// Set is the stand-ins of one fleet, in the order of the file.
type Set struct {
	// Engines and Plain are the stand-ins; their names are those of the file.
	Engines []*engine.Engine
	Plain   []*plain.Server
}

// Start starts the stand-ins, each on a port of its own, and puts their addresses into
// the file. They end with ctx, within the group.
func Start(ctx context.Context, group *errgroup.Group, file *fleetfile.File, clock clockwork.Clock) (*Set, error) {
	set := &Set{}
	snap := fleet.New(1, file)
	for i := range file.BackendServers {
		entry := &file.BackendServers[i]
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for stand-in %s: %w", entry.Name, err)
		}
		entry.Address = ln.Addr().String()
		server, _ := snap.Server(entry.Name)
		if server.KVTokens() == 0 {
			p := &plain.Server{Name: entry.Name, Delay: plainDelay, Clock: clock}
			set.Plain = append(set.Plain, p)
			group.Go(func() error { return p.Run(ctx, ln) })
			continue
		}
		e := &engine.Engine{
			Name: entry.Name, KVTokens: server.KVTokens(), MaxBatch: server.MaxBatch(),
			DecodeStep: server.DecodeStep(), LoadLag: loadLag, ChecksFence: server.ChecksFence(),
			Models: held(snap, server), Clock: clock,
		}
		set.Engines = append(set.Engines, e)
		group.Go(func() error { return e.Run(ctx, ln) })
	}
	return set, nil
}

// held returns what an engine stand-in holds at the start: as many of its models as it
// has slots for.
func held(snap *fleet.Snapshot, server *fleet.BackendServer) []string {
	var out []string
	for _, m := range server.Models()[:min(len(server.Models()), server.ModelSlots())] {
		out = append(out, snap.ModelKey(m))
	}
	return out
}
