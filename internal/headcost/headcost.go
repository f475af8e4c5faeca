// Package headcost estimates how much memory the head of a message takes once it is parsed, and bounds that for
// many heads at once.
//
// A bound on the bytes of a head bounds little: a field of four bytes takes several times as many as an entry of a
// map.
package headcost

import (
	"bytes"
	"net/http"
	"sync/atomic"
)

const (
	// Free is the cost in bytes up to which a head is not counted; common heads have less.
	Free = 8 << 10
	// fieldBytes is the cost of a field besides its text, and copies that of a byte of text: the text as it was read,
	// and as it is kept.
	fieldBytes = 128
	copies     = 2
)

// blankLine ends a head.
var blankLine = []byte("\r\n\r\n")

// Of returns the cost in bytes of a piece of a head, without what follows the head in the piece.
func Of(piece []byte) int64 {
	if end := bytes.Index(piece, blankLine); end >= 0 {
		piece = piece[:end]
	}
	return copies*int64(len(piece)) + fieldBytes*int64(bytes.Count(piece, []byte{'\n'}))
}

// OfHeader returns the cost in bytes of parsed fields.
func OfHeader(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		for _, value := range values {
			cost += fieldBytes + copies*int64(len(name)+len(value))
		}
	}
	return cost
}

// Budget bounds the costs of all heads beyond Free each, in bytes. It is safe for concurrent use. A nil Budget bounds
// nothing.
type Budget struct {
	max  int64
	used atomic.Int64
}

// New returns a budget of some bytes; 0 is no bound.
func New(bytes int64) *Budget { return &Budget{max: bytes} }

// Meter is the cost of one head in a budget. The zero value is that of no head.
type Meter struct {
	cost, charged int64
}

// Add counts a piece of the head, and reports whether it is within the budget.
func (b *Budget) Add(m *Meter, piece []byte) bool {
	if b == nil {
		return true
	}
	return b.settle(m, m.cost+Of(piece))
}

// Parsed replaces the cost of the pieces by that of the parsed head, and reports whether that is within the budget.
func (b *Budget) Parsed(m *Meter, h http.Header) bool {
	if b == nil {
		return true
	}
	return b.settle(m, OfHeader(h))
}

// Release takes the head out of the budget.
func (b *Budget) Release(m *Meter) {
	if b != nil {
		b.settle(m, 0)
	}
}

func (b *Budget) settle(m *Meter, cost int64) bool {
	m.cost = cost
	charge := max(0, cost-Free)
	used := b.used.Add(charge - m.charged)
	grows := charge > m.charged
	m.charged = charge
	return !grows || b.max <= 0 || used <= b.max
}
