package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// roster is the live boxes of a failure domain by their starts, in rising order: the places of
// rolls. It is read only.
type roster struct {
	boxes []*peer
	order uint64
}

// roster returns the present roster of a failure domain.
func (t *table) roster(domain string) *roster {
	if r := t.rosters[domain]; r != nil {
		return r
	}
	boxes := slices.Clone(t.domains[domain])
	slices.SortFunc(boxes, func(a, b *peer) int { return cmp.Compare(a.start, b.start) })
	var h xxhash.Digest
	h.Reset()
	for _, p := range boxes {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, p.start))
	}
	if t.rosters == nil {
		t.rosters = make(map[string]*roster)
	}
	t.rosters[domain] = &roster{boxes: boxes, order: h.Sum64()}
	return t.rosters[domain]
}
