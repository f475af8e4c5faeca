package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/dalebend/dalebend/internal/explain"
	"github.com/dalebend/dalebend/internal/settings"
)

// logTally is the result of tally-log.
type logTally struct {
	Rows []explain.Row `json:"rows"`

	windows bool
}

func (t *logTally) text(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := "route\tcount\toutcome\tcause\texample\n"
	if t.windows {
		head = "from\t" + head
	}
	fmt.Fprint(table, head)
	for _, r := range t.Rows {
		if t.windows {
			fmt.Fprintf(table, "%s\t", r.Window)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", r.Route, r.Count, r.Outcome, r.Cause, r.Example)
	}
	// Errors of the output are not told anywhere else either.
	_ = table.Flush()
}

func (c *Command) tallyLog(cmd *settings.TallyLogCmd) (result, error) {
	if cmd.First < 0 || cmd.Pause < 0 || cmd.Window < 0 {
		return nil, fmt.Errorf("%w: a time is negative", errUsage)
	}
	tally := &explain.Tally{Limits: explain.Limits{First: cmd.First, Pause: cmd.Pause}, Window: cmd.Window}
	if err := c.readLogs(tally, cmd.Files); err != nil {
		return nil, err
	}
	return &logTally{Rows: tally.Rows(), windows: cmd.Window > 0}, nil
}
