// Package delivery enforces the order of a stream's tokens on their way to a caller.
//
// Invariants: tokens are delivered in order, each once, all from the generation of the first one. A
// duplicate is dropped; a gap or a chunk of another generation is reported to the driver, which
// resumes or ends the stream. The package does no I/O.
package delivery

import "github.com/dalebend/dalebend/internal/invariant"

// Verdict is the action that a chunk requires.
type Verdict uint8

const (
	// Deliver delivers the chunk.
	Deliver Verdict = iota
	// Duplicate drops the chunk: it was delivered before.
	Duplicate
	// Gap resumes the stream after the last delivered offset.
	Gap
	// OtherGeneration resumes the stream: the chunk is from another generation.
	OtherGeneration
)

// Sequencer tracks the delivered offset of one stream. The zero value is a stream of which nothing
// has been delivered.
type Sequencer struct {
	generation string
	delivered  uint64
}

// ResumeAfter returns a sequencer that continues after an offset of a generation.
func ResumeAfter(generation string, offset uint64) *Sequencer {
	return &Sequencer{generation: generation, delivered: offset}
}

// Generation returns the id of the generation, empty before the first token.
func (r *Sequencer) Generation() string { return r.generation }

// Delivered returns the offset of the last delivered token; offsets begin at 1.
func (r *Sequencer) Delivered() uint64 { return r.delivered }

// Classify returns the action for a chunk without recording it as delivered.
func (r *Sequencer) Classify(generation string, offset uint64) Verdict {
	switch {
	case r.generation != "" && generation != r.generation:
		return OtherGeneration
	case offset <= r.delivered:
		return Duplicate
	case offset > r.delivered+1:
		return Gap
	default:
		return Deliver
	}
}

// RecordDelivered records a chunk as delivered. It is called just before the chunk is written, so
// that after a failed write the same token is never written again.
func (r *Sequencer) RecordDelivered(generation string, offset uint64) {
	invariant.Check(r.generation == "" || r.generation == generation, "one-generation",
		"generation %q after %q", generation, r.generation)
	invariant.Check(offset == r.delivered+1, "token-order", "offset %d after %d", offset, r.delivered)
	r.generation = generation
	r.delivered = offset
}

// Reset allows another generation to serve the stream. It may be called only while nothing has been
// delivered.
func (r *Sequencer) Reset() {
	invariant.Check(r.delivered == 0, "restart-after-delivery", "restart after offset %d", r.delivered)
	r.generation = ""
}
