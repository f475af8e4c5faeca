package box

import (
	"log/slog"
	"slices"

	"github.com/dalebend/dalebend/internal/belief"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/registry"
)

// namedServers bounds the names of one kind in a line about a view: a sixth of the
// engines leave at once, and that is eight of the largest site.
const namedServers = 8

// logView tells what a view of the backend servers changed.
func (b *Box) logView(v *registry.View) {
	old := b.loggedView
	b.loggedView = v
	if old == nil {
		old = &registry.View{}
	}
	_, source := b.share.Sources()
	attrs := []slog.Attr{
		slog.Int64(event.KeyRevision, v.Revision), slog.String(event.KeySource, source),
		slog.Int(event.KeyServers, len(v.Servers)), slog.Int(event.KeyDraining, len(drainingIn(v))),
	}
	attrs = appendNames(attrs, event.KeyAdded, missingIn(v.Servers, old.Servers))
	attrs = appendNames(attrs, event.KeyLeaving, missingIn(drainingIn(v), drainingIn(old)))
	attrs = appendNames(attrs, event.KeyGone, missingIn(old.Servers, v.Servers))
	attrs = belief.Source(b.beliefs).AppendViewAge(attrs)
	b.log(event.ServersView, attrs...)
}

func drainingIn(v *registry.View) map[string]registry.Server {
	draining := make(map[string]registry.Server)
	for name, s := range v.Servers {
		if s.State == registry.Draining {
			draining[name] = s
		}
	}
	return draining
}

// missingIn returns the ids of starts of servers that the other map lacks, sorted.
func missingIn(servers, other map[string]registry.Server) []string {
	var ids []string
	for name, s := range servers {
		if there, ok := other[name]; !ok || there.ID != s.ID {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// appendNames adds the first few names, if there are any.
func appendNames(attrs []slog.Attr, key string, names []string) []slog.Attr {
	if len(names) == 0 {
		return attrs
	}
	return append(attrs, slog.Any(key, names[:min(len(names), namedServers)]))
}
