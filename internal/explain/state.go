package explain

import (
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// serverState describes what the boxes knew of a server around the time of its failure.
func (t *timeline) serverState(server string, at time.Time) string {
	if view := t.firstContext(func(l *line) bool { return l.reportsLeaving(server) && isNear(l, at) }); view != nil {
		return fmt.Sprintf("%s was leaving: %s heard so from the list of servers %s", server, view.Box, relative(view.Time, at))
	}
	ejected := t.firstContext(func(l *line) bool {
		return l.Event == event.ServerEjected && l.Server == server && isNear(l, at)
	})
	if ejected != nil {
		return fmt.Sprintf("%s had given no notice, and %s ejected it %s (%s)",
			server, ejected.Box, relative(ejected.Time, at), singleLine(ejected.Cause))
	}
	return fmt.Sprintf("%s had given no notice and no box ejected it, %s on it failed around then",
		server, count(t.othersFailed(server, at), "other attempt"))
}

// othersFailed counts attempts of other requests that failed on a server.
func (t *timeline) othersFailed(server string, at time.Time) int {
	n := 0
	for _, l := range t.context {
		if l.Event == event.RequestFailed && l.Server == server && isNear(l, at) {
			n++
		}
	}
	return n
}

// isNear reports whether a line is close enough to a failure to explain it.
func isNear(l *line, at time.Time) bool {
	return !l.Time.Before(at.Add(-contextBefore)) && !l.Time.After(at.Add(contextAfter))
}

// relative describes when something happened relative to a failure.
func relative(when, at time.Time) string {
	if when.After(at) {
		return elapsedBetween(at, when) + " later"
	}
	return elapsedBetween(when, at) + " before"
}

// configState describes how long the box had had its configuration, and whether another box had a
// newer one by then.
func (t *timeline) configState(at *line) string {
	if at.ConfigVersion == nil {
		return ""
	}
	text := fmt.Sprintf("; its configuration was version %d", *at.ConfigVersion)
	own := t.lastContext(func(l *line) bool {
		return l.Event == event.ConfigInForce && l.Box == at.Box && value(l.Version) == *at.ConfigVersion && !l.Time.After(at.Time)
	})
	if own != nil {
		text += fmt.Sprintf(", in force there for %s", elapsedBetween(own.Time, at.Time))
	}
	newer := t.firstContext(func(l *line) bool {
		return l.Event == event.ConfigInForce && value(l.Version) > *at.ConfigVersion && !l.Time.After(at.Time)
	})
	if newer != nil {
		return text + fmt.Sprintf("; %s had had version %d for %s", newer.Box, value(newer.Version), elapsedBetween(newer.Time, at.Time))
	}
	return text + "; no box in these logs had a newer one"
}

// storeState describes whether the box was without the object API.
func (t *timeline) storeState(at *line) string {
	change := t.lastContext(func(l *line) bool {
		return (l.Event == event.StoreLost || l.Event == event.StoreRegained || l.Event == event.Start) &&
			l.Box == at.Box && !l.Time.After(at.Time)
	})
	if change == nil || change.Event != event.StoreLost {
		return ""
	}
	return fmt.Sprintf("; it had not reached the object API for %s", elapsedBetween(change.Time, at.Time))
}
