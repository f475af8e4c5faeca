package viewshare

import (
	"cmp"
	"slices"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// maxSteps is how many views behind a peer may be and still get only the changes. At three changes
// a second it covers an outage of 20 s.
const maxSteps = 64

// step is the change from one view to the next that this box took.
type step struct {
	base    storerev.Revision
	changes []registry.Change
}

// changeLog holds the last steps, and the updates encoded for the newest view.
type changeLog struct {
	steps []step
	// encoded holds the updates by base revision, 0 for the whole view.
	encoded map[storerev.Revision][]byte
}

// add adds the step to a new view.
func (l *changeLog) add(from, to *registry.View) {
	l.encoded = nil
	if from == nil {
		return
	}
	if len(l.steps) == maxSteps {
		l.steps = slices.Delete(l.steps, 0, 1)
	}
	l.steps = append(l.steps, step{base: from.Revision, changes: difference(from, to)})
}

// base returns the base revision of an update for a peer that holds a revision: that revision if a
// step begins at it, otherwise 0 for the whole view. Other revisions cannot be a base, as an entry
// that changed and changed back is in no step.
func (l *changeLog) base(revision storerev.Revision) storerev.Revision {
	if l.index(revision) < 0 {
		return 0
	}
	return revision
}

func (l *changeLog) index(revision storerev.Revision) int {
	return slices.IndexFunc(l.steps, func(s step) bool { return s.base == revision })
}

// since returns the changes since a revision at which a step begins.
func (l *changeLog) since(revision storerev.Revision) []registry.Change {
	last := make(map[string]registry.Change)
	for _, s := range l.steps[l.index(revision):] {
		for _, c := range s.changes {
			last[c.Server.Name()] = c
		}
	}
	return sorted(last)
}

// difference returns the changes that lead from one view to another.
func difference(from, to *registry.View) []registry.Change {
	out := make(map[string]registry.Change)
	for d := range cowmap.Diff(from.Servers, to.Servers) {
		if d.Has {
			out[d.Key] = registry.Change{Server: d.To}
			continue
		}
		out[d.Key] = registry.Change{Server: registry.Server{ID: d.Key}, Removed: true}
	}
	return sorted(out)
}

func sorted(changes map[string]registry.Change) []registry.Change {
	out := make([]registry.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b registry.Change) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}
