package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// isCrashHistory reports whether a line is about servers that ended during some request.
func (l *line) isCrashHistory() bool {
	switch l.Event {
	case event.RequestSuspected, event.RequestHeld, event.RequestCleared, event.SegmentHeld, event.SegmentCleared:
		return true
	default:
		return false
	}
}

// crashHistorySteps returns the steps of a line about servers that ended during attempts of this
// request, or of others with a segment for which it is refused, however long before, and at any box.
func (t *timeline) crashHistorySteps(l *line) []Step {
	same := func(own *line) bool { return own.Fingerprint != "" && own.Fingerprint == l.Fingerprint }
	if !slices.ContainsFunc(t.own, same) {
		return nil
	}
	return []Step{{Time: l.Time, Box: l.Box, Text: l.crashHistorySentence()}}
}

func (l *line) crashHistorySentence() string {
	switch l.Event {
	case event.SegmentHeld:
		return fmt.Sprintf("%s ended as they began to answer requests with its prompt segment %s (%s): no server is given one any more",
			strings.Join(l.Ended, ", "), l.Segment, l.Source)
	case event.SegmentCleared:
		return fmt.Sprintf("what servers ended under requests with its prompt segment %s counts no more: %s", l.Segment, l.Reason)
	case event.RequestCleared:
		return "what servers ended under it before counts no more: " + l.Reason
	default:
		return l.requestHistorySentence()
	}
}

func (l *line) requestHistorySentence() string {
	text := fmt.Sprintf("%s ended under attempts of it (%s)", strings.Join(l.Ended, ", "), l.Source)
	if l.Event == event.RequestHeld {
		text += ": no server is given it any more"
	}
	return text
}
