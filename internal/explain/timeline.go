package explain

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// timeline holds the lines of a request and those around it, each ordered by time.
type timeline struct {
	own     []*line
	context []*line
}

// steps returns the steps of the report.
func (t *timeline) steps() []Step {
	if len(t.own) == 0 {
		return nil
	}
	var steps []Step
	for _, l := range t.own {
		steps = append(steps, Step{Time: l.Time, Box: l.Box, Text: l.sentence(), Own: true})
	}
	servers := t.servers()
	for _, l := range t.context {
		steps = append(steps, t.contextSteps(l, servers)...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return steps
}

// contextSteps returns the steps of a line around the request.
func (t *timeline) contextSteps(l *line, servers []string) []Step {
	if l.isCrashHistory() {
		return t.crashHistorySteps(l)
	}
	begin, end := t.span()
	if l.Time.Before(begin.Add(-contextBefore)) || l.Time.After(end.Add(contextAfter)) || !slices.Contains(t.boxes(), l.Box) {
		return nil
	}
	var steps []Step
	for _, s := range l.subjectServers(servers) {
		steps = append(steps, Step{Time: l.Time, Box: l.Box, Text: l.contextSentence(s)})
	}
	return steps
}

// subjectServers returns which of the request's servers a line is about; a line about the box gives
// one empty name.
func (l *line) subjectServers(servers []string) []string {
	switch l.Event {
	case event.ServersView:
		return slices.DeleteFunc(slices.Clone(servers), func(s string) bool { return !l.reportsLeaving(s) })
	case event.ServerEjected, event.ServerReadmitted:
		return slices.DeleteFunc(slices.Clone(servers), func(s string) bool { return s != l.Server })
	case event.RequestFailed:
		return nil
	default:
		return []string{""}
	}
}

// reportsLeaving reports whether a view lists a server as leaving or gone.
func (l *line) reportsLeaving(server string) bool {
	return l.Event == event.ServersView && (l.Gone.has(server) || l.Leaving.has(server))
}

// span returns the times of the request's first and last line.
func (t *timeline) span() (begin, end time.Time) {
	return t.own[0].Time, t.own[len(t.own)-1].Time
}

// servers returns the backend servers that the request's lines name.
func (t *timeline) servers() []string {
	return distinct(t.own, (*line).servers)
}

// boxes returns the boxes that handled the request.
func (t *timeline) boxes() []string {
	return distinct(t.own, func(l *line) []string { return []string{l.Box} })
}

func distinct(lines []*line, of func(*line) []string) []string {
	var all []string
	for _, l := range lines {
		for _, one := range of(l) {
			if !slices.Contains(all, one) {
				all = append(all, one)
			}
		}
	}
	return all
}

// server returns the backend server that had the request last, "" if none had.
func (t *timeline) server() string {
	l := lastOf(t.own, func(l *line) bool { return l.Event == event.RequestSent || l.Event == event.StreamMoved })
	switch {
	case l == nil:
		return ""
	case l.Event == event.StreamMoved:
		return l.To
	default:
		return l.Server
	}
}

// backup returns the server last chosen as backup, "" if none was.
func (t *timeline) backup() string {
	l := lastOf(t.own, func(l *line) bool { return l.Backup != "" })
	if l == nil {
		return ""
	}
	return l.Backup
}

// last returns the request's last line of an event, nil if there is none.
func (t *timeline) last(name event.Name) *line {
	return lastOf(t.own, func(l *line) bool { return l.Event == name })
}

// lastContext returns the last matching line around the request.
func (t *timeline) lastContext(fits func(*line) bool) *line {
	return lastOf(t.context, fits)
}

// firstContext returns the first matching line around the request.
func (t *timeline) firstContext(fits func(*line) bool) *line {
	if i := slices.IndexFunc(t.context, fits); i >= 0 {
		return t.context[i]
	}
	return nil
}

func lastOf(lines []*line, fits func(*line) bool) *line {
	for _, l := range slices.Backward(lines) {
		if fits(l) {
			return l
		}
	}
	return nil
}
