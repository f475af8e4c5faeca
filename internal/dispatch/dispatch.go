// Package dispatch tracks the state of one request on its way to backend servers and decides which
// outcome may be reported.
//
// Invariants: a request that may not be repeated is sent again only after a backend server has
// stated that it did not run it; once sent, "not run" needs that statement; "done" needs the end
// mark.
package dispatch

import (
	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/outcome"
)

// state is the state of a request.
type state uint8

const (
	// unsent: no byte of the request can have reached a backend server that ran it.
	unsent state = iota
	// sent: a byte may have reached one.
	sent
	// answered: the end mark arrived.
	answered
	// lost: sent, and no answer will arrive.
	lost
)

// Tracker tracks one request. Set MayRepeat before the first RecordSend.
type Tracker struct {
	// MayRepeat is set if running the request more than once is harmless.
	MayRepeat bool

	state     state
	sends     int
	delivered uint64
}

// RecordSend is called before the first byte of an attempt is sent.
func (d *Tracker) RecordSend() {
	invariant.Check(d.state == unsent || d.state == lost && d.MayRepeat, "at-most-once",
		"send in state %d, repeatable %t", d.state, d.MayRepeat)
	d.state = sent
	d.sends++
}

// RecordUnsent is called when an attempt failed before any byte was sent.
func (d *Tracker) RecordUnsent() {
	invariant.Check(d.state == sent, "unsent-after-send", "unsent in state %d", d.state)
	d.sends--
	d.state = unsent
	if d.sends > 0 {
		// An earlier attempt of a repeatable request may have run.
		d.state = lost
	}
}

// RecordRefusal is called when the backend server stated that it did not run the request.
func (d *Tracker) RecordRefusal() { d.RecordUnsent() }

// RecordLost is called when no answer to a sent attempt will arrive.
func (d *Tracker) RecordLost() {
	invariant.Check(d.state == sent, "lost-before-send", "lost in state %d", d.state)
	d.state = lost
}

// RecordAnswer is called when the end mark arrived.
func (d *Tracker) RecordAnswer() {
	invariant.Check(d.state == sent, "answer-before-send", "answer in state %d", d.state)
	d.state = answered
}

// RecordDelivered records how many tokens have reached the caller.
func (d *Tracker) RecordDelivered(n uint64) { d.delivered = n }

// CanSend reports whether another attempt is allowed.
func (d *Tracker) CanSend() bool {
	return d.state == unsent || d.state == lost && d.MayRepeat && d.delivered == 0
}

// Outcome returns the outcome that may be reported to the caller now.
func (d *Tracker) Outcome() outcome.Outcome {
	switch {
	case d.state == answered:
		return outcome.Done
	case d.state == unsent:
		return outcome.NotRun
	case d.delivered > 0:
		return outcome.Cut
	default:
		return outcome.Unknown
	}
}
