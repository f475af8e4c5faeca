package registry

import (
	"maps"
	"slices"
)

// Cordons are the failure domains whose backend servers are to get no more work, as the
// operator had them at one revision of the store. It is read only.
type Cordons struct {
	// Revision is the store's revision; those with a higher one are newer. 0 is not known.
	Revision int64
	// Domains are the names of the failure domains, in order.
	Domains []string
}

// CordonChange is one change of the cordons.
type CordonChange struct {
	// Domain is the failure domain.
	Domain string
	// Lifted means that its servers may get work again.
	Lifted bool
}

// Has reports whether a failure domain is cordoned.
func (c Cordons) Has(domain string) bool {
	_, found := slices.BinarySearch(c.Domains, domain)
	return found
}

// With returns the cordons after changes, which lead up to a revision.
func (c Cordons) With(changes []CordonChange, revision int64) Cordons {
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
