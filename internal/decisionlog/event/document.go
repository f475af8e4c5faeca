package event

import (
	"fmt"
	"log/slog"
	"strings"
)

const documentHead = `# Decision log

Each box writes one JSON object a line to standard output: every decision that
touches a request, every change of what the box believes, and the start, stop and
reload of the process. Every line has ` + "`time`" + ` (the box's own clock, UTC, microseconds),
` + "`level`" + `, ` + "`event`" + ` and ` + "`box`" + `. Durations are whole milliseconds and end in ` + "`_ms`" + `;
` + "`ms`" + ` is the time since the request arrived. A key that does not apply is left out. ` + "`request`" + ` and ` + "`server`" + ` come first, so
that a line that is cut still names them.

Writing never delays a request. Lines wait in a bounded queue; each event also has a
budget of its own, so that a frequent one does not crowd out the others. Lines that
are left out are counted by event in ` + "`log-lines-dropped`" + `. If standard output has no
reader any more, lines are lost and the box goes on.

` + "`dalebendctl explain-log ID FILES...`" + ` tells the story of one request from such lines,
` + "`dalebendctl tally-log FILES...`" + ` counts how all of them ended, by route and cause.
This page is written from the code (` + "`internal/decisionlog/event`" + `) and checked against
it by a test.
`

// Document returns docs/LOGS.md.
func Document() string {
	var b strings.Builder
	b.WriteString(documentHead)
	writeTable(&b, "Process", processEvents())
	writeTable(&b, "Dependencies and beliefs", stateEvents())
	writeTable(&b, "Paths to backend servers, and brittle ones", pathEvents())
	writeTable(&b, "Requests", requestEvents())
	writeTable(&b, "Streams", streamEvents())
	return b.String()
}

func writeTable(b *strings.Builder, title string, events []Declaration) {
	fmt.Fprintf(b, "\n## %s\n\n| event | level | meaning | keys |\n|---|---|---|---|\n", title)
	for _, d := range events {
		fmt.Fprintf(b, "| `%s` | %s | %s | `%s` |\n", d.Name, levelText(d.Level), d.Meaning, strings.Join(d.Keys, "`, `"))
	}
}

func levelText(l slog.Level) string {
	return strings.ToLower(l.String())
}
