package program

import (
	"io"

	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/standin/run"
)

// Standin runs dalebend-standin.
func Standin(args []string, out, errOut io.Writer) int {
	s := &settings.Standin{}
	p, code, ok := begin(s, &s.Log, "dalebend-standin", args, out, errOut)
	if !ok {
		return code
	}
	p.logger.Info("stand-in begins", "role", s.Role, "listen", s.Listen)
	return p.end(run.Run(p.ctx, s), errOut)
}
