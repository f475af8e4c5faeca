package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/partition"
	"github.com/dalebend/dalebend/internal/soak/run"
	"github.com/dalebend/dalebend/internal/soak/series"
)

// soakBox runs a box that the soak can cut off from its backend servers.
func soakBox(args []string, out, errOut io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialer := &partition.Dialer{
		Clock: clockwork.NewRealClock(), Logger: slog.New(slog.DiscardHandler), Context: ctx, Group: &errgroup.Group{},
	}
	dialer.Group.Go(func() error { return dialer.Follow(os.Getenv(run.PartitionVariable)) })
	return boxWithDialer(args, out, errOut, dialer)
}

// Soak runs dalebend-soak. It fails if a check failed.
func Soak(args []string, out, errOut io.Writer) int {
	if len(args) > 0 && args[0] == run.BoxCommand {
		return soakBox(args[1:], out, errOut)
	}
	s := &settings.Soak{}
	if code, ok := settings.Parse(s, "dalebend-soak", args, out, errOut); !ok {
		return code
	}
	logger, err := logging.New(errOut, "text", s.LogLevel)
	if err != nil {
		fmt.Fprintln(errOut, "dalebend-soak:", err)
		return exitUsage
	}
	ctx, stop := signalContext()
	defer stop()
	b := bounds.Default()
	b.Slack = s.Slack
	runs := &series.Series{
		Settings: s, Bounds: b, Clock: clockwork.NewRealClock(), Logger: logger, Out: out,
	}
	if err := runs.Run(ctx); err != nil {
		fmt.Fprintln(errOut, "dalebend-soak:", err)
		return exitFailed
	}
	return exitDone
}
