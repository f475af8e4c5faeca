package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// onTrail reports whether a line tells of servers that ended under some request.
func (l *line) onTrail() bool {
	switch l.Event {
	case event.RequestSuspected, event.RequestHeld, event.RequestCleared:
		return true
	default:
		return false
	}
}

// trailSteps returns what a line tells of servers that ended under attempts of this request, however
// long before, and at whichever box.
func (t *timeline) trailSteps(l *line) []Step {
	same := func(own *line) bool { return own.Fingerprint != "" && own.Fingerprint == l.Fingerprint }
	if !slices.ContainsFunc(t.own, same) {
		return nil
	}
	return []Step{{Time: l.Time, Box: l.Box, Text: l.trailSentence()}}
}

func (l *line) trailSentence() string {
	if l.Event == event.RequestCleared {
		return "what servers ended under it before counts no more: " + l.Reason
	}
	text := fmt.Sprintf("%s ended under attempts of it (%s)", strings.Join(l.Ended, ", "), l.Source)
	if l.Event == event.RequestHeld {
		text += ": no server is given it any more"
	}
	return text
}
