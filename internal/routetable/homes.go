package routetable

import "slices"

// Homes are the regions whose backend servers may get a request. The zero value allows all.
type Homes struct {
	bound   bool
	regions []string
}

// NewHomes returns homes that allow the regions, or all if there are none.
func NewHomes(regions []string) Homes {
	return Homes{bound: len(regions) > 0, regions: regions}
}

// Allow reports whether servers of a region may get the request.
func (h Homes) Allow(region string) bool {
	return !h.bound || slices.Contains(h.regions, region)
}

// And returns homes that allow what both do, which may be nothing.
func (h Homes) And(o Homes) Homes {
	switch {
	case !h.bound:
		return o
	case !o.bound:
		return h
	}
	both := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !o.Allow(region) })
	return Homes{bound: true, regions: both}
}
