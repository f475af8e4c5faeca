package history

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Counts is how often something came, by kind.
type Counts map[Kind]int

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for kind, n := range other {
		c[kind] += n
	}
}

// String lists the counts by kind.
func (c Counts) String() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, c[kind]))
	}
	return strings.Join(parts, ", ")
}
