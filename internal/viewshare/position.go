package viewshare

import (
	"cmp"

	"github.com/dalebend/dalebend/internal/storerev"
)

// position orders the states of one kind of document.
type position struct {
	// number is the version of a configuration, or the revision of a view.
	number int64
	// era is the era in which a configuration was last read, and 0 for a view, whose revision includes it.
	era int64
}

func configPosition(v storerev.ConfigVersion) position { return position{number: v.Number, era: v.Era} }

func viewPosition(r storerev.Revision) position { return position{number: int64(r)} }

// newer reports whether p is after other.
func (p position) newer(other position) bool {
	return cmp.Or(cmp.Compare(p.number, other.number), cmp.Compare(p.era, other.era)) > 0
}
