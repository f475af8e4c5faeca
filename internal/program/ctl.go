package program

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/ctl"
	"github.com/dalebend/dalebend/internal/settings"
)

// Ctl runs dalebendctl.
func Ctl(args []string, out, errOut io.Writer) int {
	s := &settings.Ctl{}
	if code, ok := settings.Parse(s, "dalebendctl", args, out, errOut); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &ctl.Command{Settings: s, In: os.Stdin, Out: out, Err: errOut, Clock: clockwork.NewRealClock()}
	return c.Run(ctx)
}
