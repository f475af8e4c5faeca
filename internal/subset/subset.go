// Package subset assigns engines to boxes.
//
// Engines are ordered by a hash of their names, and the sequence is cut into as many ranges of
// equal capacity as there are boxes. A box uses the engines of its range: most of them exclusively,
// so that it knows their memory exactly instead of from a delayed report; an engine at a cut is
// shared by two boxes, each with a quota. The state and connections of a box do not grow with the
// fleet. All boxes that know the same boxes and engines compute the same assignment; while their
// knowledge differs, some engines merely have more boxes.
package subset

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is an engine to assign.
type Member struct {
	Name string
	// Capacity is its share of the work, in any unit.
	Capacity float64
}

// minPart is the part of an engine below which a cut is moved to its edge: such a part would not
// hold a stream.
const minPart = 0.1

// Assign returns the engines that a box uses, by name, and which part of each; parts are above 0
// and at most 1.
func Assign(members []Member, boxes []string, box string) map[string]float64 {
	row := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		if x != y {
			return cmp.Compare(x, y)
		}
		return strings.Compare(a.Name, b.Name)
	})
	total := 0.0
	for _, m := range row {
		total += m.Capacity
	}
	place, found := slices.BinarySearch(slices.Sorted(slices.Values(boxes)), box)
	out := make(map[string]float64)
	if !found || total == 0 {
		return out
	}
	width := total / float64(len(boxes))
	from, to := float64(place)*width, float64(place+1)*width
	at := 0.0
	for _, m := range row {
		part := (min(to, at+m.Capacity) - max(from, at)) / m.Capacity
		switch {
		case part > 1-minPart:
			out[m.Name] = 1
		case part >= minPart:
			out[m.Name] = part
		}
		at += m.Capacity
	}
	return out
}
