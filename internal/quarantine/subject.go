package quarantine

import (
	"github.com/dalebend/dalebend/internal/fingerprint"
)

// maxSegments is how many segments of a prompt are considered, the first ones. Callers of users'
// fleets state up to six.
const maxSegments = 32

// maxNameBytes bounds the names of segments and of their models, which callers choose: longer ones are
// not considered, as they would not fit into a note.
const maxNameBytes = 128

// Subject is what identifies a request and what it has in common with others.
type Subject struct {
	// Fingerprint identifies the request.
	Fingerprint fingerprint.Fingerprint
	Account     string
	// Service and Model are where its prompt is read.
	Service, Model string
	// Segments are the segments of the prompt that other requests may have too, in order.
	Segments []string
}

// Segment is a prompt segment as one model of one service reads it.
type Segment struct {
	Service, Model string
	// Hash is how callers name it.
	Hash string
}

func (s Segment) fingerprint() fingerprint.Fingerprint {
	return fingerprint.OfSegment(s.Service, s.Model, s.Hash)
}

// segments calls visit for the segments of the request, with their positions, until it returns false.
func (s *Subject) segments(visit func(position int, f fingerprint.Fingerprint) bool) {
	if len(s.Model) > maxNameBytes {
		return
	}
	for i, hash := range s.Segments[:min(len(s.Segments), maxSegments)] {
		if len(hash) <= maxNameBytes && !visit(i, fingerprint.OfSegment(s.Service, s.Model, hash)) {
			return
		}
	}
}

func (s *Subject) segment(position int) Segment {
	return Segment{Service: s.Service, Model: s.Model, Hash: s.Segments[position]}
}

// has reports whether the request has a trait: it is that request, or has that segment.
func (s *Subject) has(trait fingerprint.Fingerprint) bool {
	found := s.Fingerprint == trait
	s.segments(func(_ int, f fingerprint.Fingerprint) bool {
		found = found || f == trait
		return !found
	})
	return found
}
