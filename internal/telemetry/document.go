package telemetry

import (
	"fmt"
	"strings"
)

// Document returns the section of docs/METRICS.md on the metrics declared here.
func Document() string {
	var b strings.Builder
	b.WriteString("| type | name | labels | meaning |\n|---|---|---|---|\n")
	for _, f := range New().families {
		h := f.declaration()
		labels := ""
		if len(h.labels) > 0 {
			labels = "`" + strings.Join(h.labels, "`, `") + "`"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s |\n", f.kind(), h.name, labels, h.help)
	}
	return b.String()
}
