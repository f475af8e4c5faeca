package member

import (
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/storerev"
)

// versions holds the highest versions that any box reported.
type versions struct {
	config  storerev.ConfigVersion
	cordons storerev.Revision
	// view is set once a box has reported a view of the servers; viewEra is the highest era of one.
	view    bool
	viewEra int64
}

// raise records the versions of a box, and reports whether they are newer than all before.
func (v *versions) raise(config storerev.ConfigVersion, view, cordons storerev.Revision) bool {
	more := config.Newer(v.config) || cordons > v.cordons || view != 0 && !v.view || view.Era() > v.viewEra
	if config.Newer(v.config) {
		v.config = config
	}
	v.cordons, v.viewEra = max(v.cordons, cordons), max(v.viewEra, view.Era())
	v.view = v.view || view != 0
	return more
}

// isFirst records the versions in an item, and reports whether it is the first to carry them.
func (n *Node) isFirst(item *digest.Item) bool {
	if d := item.Digest; d != nil {
		return n.highest.raise(d.Config(), d.ViewRevision, d.CordonRevision)
	}
	u := item.Update
	return n.highest.raise(u.Config(), u.ViewRevision, u.CordonRevision)
}
