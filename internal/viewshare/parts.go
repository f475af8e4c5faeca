package viewshare

import "github.com/dalebend/dalebend/internal/storerev"

const (
	// maxPartial bounds the incomplete changes: two boxes send at the same time, and the next
	// change of each may overtake the end of the last.
	maxPartial = 4
	// maxParts bounds the parts of a change. Larger changes are not sent; other boxes fetch the
	// difference.
	maxParts = 64
)

// split encodes a change in parts of at most most bytes; 0 means unlimited. It returns nil for a
// change that needs more than maxParts.
func split(u *update, maxBytes int) ([][]byte, error) {
	for parts := 1; parts <= maxParts; parts *= 2 {
		encoded, err := encodeParts(u, parts)
		if err != nil {
			return nil, err
		}
		if maxBytes == 0 || longest(encoded) <= maxBytes {
			return encoded, nil
		}
	}
	return nil, nil
}

// encodeParts encodes a change in the given number of parts.
func encodeParts(u *update, parts int) ([][]byte, error) {
	if parts == 1 {
		data, err := encode(u)
		return [][]byte{data}, err
	}
	encoded := make([][]byte, 0, parts)
	for i := range parts {
		part := *u
		part.Part, part.Parts = i, parts
		part.Changes = u.Changes[len(u.Changes)*i/parts : len(u.Changes)*(i+1)/parts]
		data, err := encode(&part)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

// longest returns the length of the longest part.
func longest(parts [][]byte) int {
	most := 0
	for _, p := range parts {
		most = max(most, len(p))
	}
	return most
}

// partial holds incomplete changes, oldest first.
type partial []*partialChange

// partialChange holds the received parts of one change, by number.
type partialChange struct {
	base, revision storerev.Revision
	parts          []*update
	missing        int
}

// put adds a part, and returns the change once it is complete. Parts that do not fit are dropped.
func (p *partial) put(u *update) *update {
	if u.Parts > maxParts || u.Part < 0 || u.Part >= u.Parts {
		return nil
	}
	g := p.of(u)
	if len(g.parts) != u.Parts || g.parts[u.Part] != nil {
		return nil
	}
	g.parts[u.Part] = u
	g.missing--
	if g.missing > 0 {
		return nil
	}
	p.forget(g)
	whole := *u
	whole.Changes = nil
	for _, part := range g.parts {
		whole.Changes = append(whole.Changes, part.Changes...)
	}
	return &whole
}

// of returns the partial change that a part belongs to.
func (p *partial) of(u *update) *partialChange {
	for _, g := range *p {
		if g.base == u.Base && g.revision == u.Revision {
			return g
		}
	}
	if len(*p) == maxPartial {
		p.forget((*p)[0])
	}
	g := &partialChange{base: u.Base, revision: u.Revision, parts: make([]*update, u.Parts), missing: u.Parts}
	*p = append(*p, g)
	return g
}

// forget drops a change.
func (p *partial) forget(g *partialChange) {
	kept := (*p)[:0]
	for _, other := range *p {
		if other != g {
			kept = append(kept, other)
		}
	}
	*p = kept
}
