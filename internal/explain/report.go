package explain

import (
	"fmt"
	"io"
	"time"
)

// Report is what happened to a request, in order of time.
type Report struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	Cause   string `json:"cause"`
}

// Step is one line of a report.
type Step struct {
	Time time.Time `json:"time"`
	Box  string    `json:"box"`
	Text string    `json:"text"`
	// Own is set for steps of the request itself; the others are changes of the boxes' state around
	// it.
	Own bool `json:"own"`
}

// Found reports whether any line named the request.
func (s *Report) Found() bool { return len(s.Steps) > 0 }

// WriteText writes the report as text.
func (s *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "request %s\n\n", s.Request)
	for _, step := range s.Steps {
		mark := "  "
		if step.Own {
			mark = "* "
		}
		fmt.Fprintf(w, "%s%s  %s  %s\n", mark, step.Time.Format("15:04:05.000"), step.Box, step.Text)
	}
	if s.Found() {
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "cause: %s\n", s.Cause)
}
