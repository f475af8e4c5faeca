package box

import (
	"log/slog"
	"slices"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/staleness"
)

// maxNamedServers limits the names of one kind in a log line about a view: a sixth of the engines
// may leave at once, which is eight at the largest site.
const maxNamedServers = 8

// viewLog is the state of the last log line about a view. Views arrive one at a time.
type viewLog struct {
	view registry.View
	// draining is the number of draining servers in view.
	draining int
}

// viewChange lists the instances of servers that a view changed, sorted by id.
type viewChange struct {
	added, leaving, gone []string
}

// update replaces the view and returns what changed.
func (l *viewLog) update(v *registry.View) viewChange {
	var c viewChange
	for d := range cowmap.Diff(l.view.Servers, v.Servers) {
		drained := d.Had && d.From.State == registry.Draining
		drains := d.Has && d.To.State == registry.Draining
		same := d.From.ID == d.To.ID
		c.added = appendIf(c.added, d.To.ID, d.Has && !same)
		c.gone = appendIf(c.gone, d.From.ID, d.Had && !same)
		c.leaving = appendIf(c.leaving, d.To.ID, drains && (!drained || !same))
		l.draining += oneIf(drains) - oneIf(drained)
	}
	l.view = *v
	for _, ids := range [][]string{c.added, c.leaving, c.gone} {
		slices.Sort(ids)
	}
	return c
}

// appendIf appends an id if wanted is set.
func appendIf(ids []string, id string, wanted bool) []string {
	if !wanted {
		return ids
	}
	return append(ids, id)
}

// oneIf returns 1 for true.
func oneIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// logView logs what a view of the backend servers changed.
func (b *Box) logView(v *registry.View) {
	c := b.viewLog.update(v)
	_, source := b.share.Sources()
	attrs := []slog.Attr{
		slog.Int64(event.KeyRevision, v.Revision.Number()), slog.Int64(event.KeyEra, v.Revision.Era()), slog.String(event.KeySource, source),
		slog.Int(event.KeyServers, v.Servers.Len()), slog.Int(event.KeyDraining, b.viewLog.draining),
	}
	attrs = appendNames(attrs, event.KeyAdded, c.added)
	attrs = appendNames(attrs, event.KeyLeaving, c.leaving)
	attrs = appendNames(attrs, event.KeyGone, c.gone)
	attrs = staleness.Source(b.knownState).AppendViewAge(attrs)
	b.log(event.ServersView, attrs...)
}

// appendNames adds an attribute with the first maxNamedServers names, if there are any.
func appendNames(attrs []slog.Attr, key string, names []string) []slog.Attr {
	if len(names) == 0 {
		return attrs
	}
	return append(attrs, slog.Any(key, names[:min(len(names), maxNamedServers)]))
}
