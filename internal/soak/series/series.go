// Package series runs several soaks one after another, and keeps what was seen in
// those that broke a promise.
package series

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/run"
)

// Series is several soaks. Set the fields before Run.
type Series struct {
	Settings *settings.Soak
	Bounds   bounds.Bounds
	Clock    clockwork.Clock
	Logger   *slog.Logger
	// Out gets a line for each seed and each violation.
	Out io.Writer
}

// folderMode is that of the folders that are made.
const folderMode = 0o755

// errBroken means that a checker found violations.
var errBroken = errors.New("promises were broken")

// Run runs the seeds. It is an error if a promise was broken, after the last seed, or if
// a soak could not be carried out, at once.
func (s *Series) Run(ctx context.Context) error {
	if err := os.MkdirAll(s.Settings.Out, folderMode); err != nil {
		return fmt.Errorf("make the folder for results: %w", err)
	}
	program, args, err := s.program()
	if err != nil {
		return err
	}
	faults, outcomes, broken := make(history.Counts), make(history.Counts), 0
	for n := range s.Settings.Seeds {
		r, err := s.seed(ctx, program, args, s.Settings.Seed+uint64(n))
		if err != nil {
			return err
		}
		faults.Add(r.Faults)
		outcomes.Add(r.Outcomes())
		broken += len(r.Violations)
	}
	fmt.Fprintf(s.Out, "%d seeds from %d; faults: %v; %v; violations: %d\n",
		s.Settings.Seeds, s.Settings.Seed, faults, outcomes, broken)
	if broken > 0 {
		return fmt.Errorf("%w: %d violations, kept in %s", errBroken, broken, s.Settings.Out)
	}
	return nil
}

// program returns the path of dalebend-box with its arguments. If none was named, this program itself
// runs as the boxes, which can then be cut off from their servers.
func (s *Series) program() (path string, args []string, err error) {
	if named := strings.Fields(s.Settings.Box); len(named) > 0 {
		path, err = filepath.Abs(named[0])
		return path, named[1:], err
	}
	path, err = os.Executable()
	return path, []string{run.BoxCommand}, err
}

// seed runs one seed in a folder of its own, which stays if a promise was broken.
func (s *Series) seed(ctx context.Context, program string, args []string, seed uint64) (*run.Result, error) {
	dir, err := filepath.Abs(filepath.Join(s.Settings.Out, fmt.Sprintf("seed-%d", seed)))
	if err != nil {
		return nil, fmt.Errorf("folder of seed %d: %w", seed, err)
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, fmt.Errorf("make the folder of seed %d: %w", seed, err)
	}
	one := &run.Run{
		Seed: seed, Duration: s.Settings.Duration, Calm: s.Settings.Calm, Boxes: s.Settings.Boxes, Servers: s.Settings.Servers,
		Callers: s.Settings.Callers, SlowCallers: s.Settings.SlowCallers, IdleCallers: s.Settings.IdleCallers, DeadlyCallers: s.Settings.DeadlyCallers, DeadlySegmentCallers: s.Settings.DeadlySegmentCallers, Program: program, Args: args, Dir: dir, Bounds: s.Bounds, Clock: s.Clock, Logger: s.Logger,
	}
	r, err := one.Do(ctx)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(s.Out, r)
	if len(r.Violations) == 0 && !s.Settings.Keep {
		s.clear(dir)
		return r, nil
	}
	return r, s.keep(dir, r)
}

// clear removes a folder that is no longer needed.
func (s *Series) clear(dir string) {
	if err := os.RemoveAll(dir); err != nil {
		s.Logger.Warn("folder was not removed", "error", err)
	}
}
