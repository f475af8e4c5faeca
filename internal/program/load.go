package program

import (
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/controlrun"
	"github.com/dalebend/dalebend/internal/loadrun"
	"github.com/dalebend/dalebend/internal/overheadrun"
	"github.com/dalebend/dalebend/internal/settings"
)

// Load runs dalebend-load.
func Load(args []string, out, errOut io.Writer) int {
	s := &settings.Load{}
	if code, ok := settings.Parse(s, "dalebend-load", args, out, errOut); !ok {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	if s.Workload == "control" {
		b := &controlrun.Bench{
			Boxes: s.Sizes, Applies: s.Applies, Rest: s.Duration, Servers: s.Servers, Fault: s.Fault,
			Clock: clockwork.NewRealClock(), Out: out, Progress: errOut,
		}
		return loadResult(b.Run(ctx), errOut)
	}
	if s.Workload == "overhead" {
		b := &overheadrun.Bench{
			Streams: s.Sizes, Tokens: s.Tokens, Step: s.Step, Clock: clockwork.NewRealClock(), Out: out,
		}
		return loadResult(b.Run(ctx), errOut)
	}
	l := &loadrun.Load{Settings: s, Clock: clockwork.NewRealClock(), Out: out, Progress: errOut}
	return loadResult(l.Run(ctx), errOut)
}

func loadResult(err error, errOut io.Writer) int {
	if err != nil {
		fmt.Fprintf(errOut, "dalebend-load: %v\n", err)
		return exitFailed
	}
	return exitDone
}
