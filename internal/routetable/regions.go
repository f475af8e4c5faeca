package routetable

import "slices"

// AllowedRegions are the regions whose backend servers may get a request. The zero value allows
// all.
type AllowedRegions struct {
	bound   bool
	regions []string
}

// NewAllowedRegions returns a value that allows the given regions, or all if there are none.
func NewAllowedRegions(regions []string) AllowedRegions {
	return AllowedRegions{bound: len(regions) > 0, regions: regions}
}

// Allow reports whether servers of a region may get the request.
func (h AllowedRegions) Allow(region string) bool {
	return !h.bound || slices.Contains(h.regions, region)
}

// Intersect returns the regions that both allow, possibly none.
func (h AllowedRegions) Intersect(o AllowedRegions) AllowedRegions {
	switch {
	case !h.bound:
		return o
	case !o.bound:
		return h
	}
	both := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !o.Allow(region) })
	return AllowedRegions{bound: true, regions: both}
}
