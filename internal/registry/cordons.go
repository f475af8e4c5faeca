package registry

import (
	"maps"
	"slices"

	"github.com/dalebend/dalebend/internal/storerev"
)

// Cordons are the failure domains whose backend servers get no new work, as set by the operator, at
// one revision of the store. Immutable.
type Cordons struct {
	// Revision is the store's revision; higher is newer. 0 means unknown.
	Revision storerev.Revision
	// Domains are the names of the failure domains, sorted.
	Domains []string
}

// CordonChange is one change of the cordons.
type CordonChange struct {
	Domain string
	// Lifted is set if the cordon was removed, so that the domain's servers may get new work again.
	Lifted bool
}

// Has reports whether a failure domain is cordoned.
func (c Cordons) Has(domain string) bool {
	_, found := slices.BinarySearch(c.Domains, domain)
	return found
}

// With returns the cordons after applying changes that lead to a revision.
func (c Cordons) With(changes []CordonChange, revision storerev.Revision) Cordons {
	domains := make(map[string]bool, len(c.Domains)+len(changes))
	for _, d := range c.Domains {
		domains[d] = true
	}
	for _, change := range changes {
		if change.Lifted {
			delete(domains, change.Domain)
			continue
		}
		domains[change.Domain] = true
	}
	return Cordons{Revision: revision, Domains: slices.Sorted(maps.Keys(domains))}
}
