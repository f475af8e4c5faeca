package explain

import (
	"fmt"
	"strings"
	"time"
)

// count returns "1 event", "2 events".
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// duration formats milliseconds as a duration, nil as "an unknown time".
func duration(ms *int64) string {
	if ms == nil {
		return "an unknown time"
	}
	return (time.Duration(*ms) * time.Millisecond).String()
}

func elapsedText(ms *int64) string {
	if ms == nil {
		return ""
	}
	return " after " + duration(ms)
}

func ageText(ms *int64) string {
	if ms == nil {
		return ""
	}
	return " (" + duration(ms) + " old)"
}

func sourceText(source string) string {
	if source == "" {
		return ""
	}
	return ", from " + source
}

func runText(mayHaveRun bool) string {
	if mayHaveRun {
		return "may have run"
	}
	return "has not run"
}

// singleLine joins the lines of an error.
func singleLine(text string) string { return strings.ReplaceAll(text, "\n", "; ") }

// causes returns all causes of a line as one text.
func (l *line) causes() string { return singleLine(strings.Join(l.Causes, "; ")) }

func value(n *int64) int64 {
	if n == nil {
		return 0
	}
	return *n
}
