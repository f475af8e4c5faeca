package program

import (
	"io"
	"os"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/localrun"
	"github.com/dalebend/dalebend/internal/settings"
)

// Local runs dalebend-local.
func Local(args []string, out, errOut io.Writer) int {
	s := &settings.Local{}
	p, code, ok := begin(s, &s.Log, "dalebend-local", args, out, errOut)
	if !ok {
		return code
	}
	text, err := os.ReadFile(s.Fleet)
	if err != nil {
		return p.end(err, errOut)
	}
	l := &localrun.Local{
		Fleet: text, Listen: []string{s.Listen}, Admin: s.Admin, Clock: clockwork.NewRealClock(),
		Logger: p.logger, Tracer: p.tracer, Out: out,
	}
	if s.SecondListen != "" {
		l.Listen = append(l.Listen, s.SecondListen)
	}
	return p.end(l.Run(p.ctx, nil), errOut)
}
