package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// memberIndex lists the live boxes of a failure domain by ascending IncarnationKey. Positions in it
// are the bits of presence bitmaps. It is read only.
type memberIndex struct {
	boxes    []*peer
	checksum uint64
}

// index returns the current index of a failure domain.
func (t *table) index(domain string) *memberIndex {
	if r := t.indexes[domain]; r != nil {
		return r
	}
	boxes := slices.Clone(t.domains[domain])
	slices.SortFunc(boxes, func(a, b *peer) int { return cmp.Compare(a.key, b.key) })
	var h xxhash.Digest
	h.Reset()
	for _, p := range boxes {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, p.key))
	}
	if t.indexes == nil {
		t.indexes = make(map[string]*memberIndex)
	}
	t.indexes[domain] = &memberIndex{boxes: boxes, checksum: h.Sum64()}
	return t.indexes[domain]
}
