package viewshare

const (
	// mostPartial bounds the changes of which some parts are still to come: two boxes tell at the same
	// time, and of each the next change may overtake the end of the last.
	mostPartial = 4
	// mostParts bounds the parts of a change. Of one that has more the others fetch the difference.
	mostParts = 64
)

// split encodes a change in parts of so many bytes at most; 0 is any. A change of more than mostParts
// is left out.
func split(u *update, most int) ([][]byte, error) {
	for parts := 1; parts <= mostParts; parts *= 2 {
		encoded, err := encodeParts(u, parts)
		if err != nil {
			return nil, err
		}
		if most == 0 || longest(encoded) <= most {
			return encoded, nil
		}
	}
	return nil, nil
}

// encodeParts encodes a change in so many parts.
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

// partial holds the parts of changes that are not whole yet, the oldest change first.
type partial []*gathered

// gathered is the parts of one change that have come, by their numbers.
type gathered struct {
	base, revision int64
	parts          []*update
	missing        int
}

// put takes a part, and returns the change once it is whole. A part that does not fit is dropped.
func (p *partial) put(u *update) *update {
	if u.Parts > mostParts || u.Part < 0 || u.Part >= u.Parts {
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

// of returns what is gathered of the change of a part.
func (p *partial) of(u *update) *gathered {
	for _, g := range *p {
		if g.base == u.Base && g.revision == u.Revision {
			return g
		}
	}
	if len(*p) == mostPartial {
		p.forget((*p)[0])
	}
	g := &gathered{base: u.Base, revision: u.Revision, parts: make([]*update, u.Parts), missing: u.Parts}
	*p = append(*p, g)
	return g
}

// forget drops a change.
func (p *partial) forget(g *gathered) {
	kept := (*p)[:0]
	for _, other := range *p {
		if other != g {
			kept = append(kept, other)
		}
	}
	*p = kept
}
