package program

import (
	"io"
	"os"

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
	ctx, stop := signalContext()
	defer stop()
	c := &ctl.Command{Settings: s, In: os.Stdin, Out: out, Err: errOut, Clock: clockwork.NewRealClock()}
	return c.Run(ctx)
}
