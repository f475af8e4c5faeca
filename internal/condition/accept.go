package condition

import (
	"errors"
	"fmt"
)

// Accepts reports whether this box may send a request of this priority, 0 the most urgent, to a
// server of a service, given the conditions that the server reported. A leaving server accepts
// none.
func (b *Tracker) Accepts(server, service string, priority int) bool {
	if b == nil {
		return true
	}
	return !b.Departures.IsLeaving(server) && b.HoldOffs.Accepts(server) && b.Limits.Accepts(server, service, priority)
}

// HasRoom reports whether this box may have one more request in flight at a server of a service with a
// number of slots.
func (b *Tracker) HasRoom(server, service string, slots, inFlight int) bool {
	return b == nil || b.Brittle.HasRoom(server, service, slots, inFlight)
}

// Reserve counts a request of this priority that is assigned to a server.
func (b *Tracker) Reserve(server string, priority int) {
	if b == nil {
		return
	}
	b.HoldOffs.Reserve(server)
	b.Limits.Reserve(server, priority)
}

// highestPriority is the priority of running streams, which go before all other requests.
const highestPriority = 0

// CanContinue reports whether a stream may continue on a server that has its memory, and counts it
// unless that was done when the server was chosen. A running stream is not new work for a leaving
// server, and is not held back by a limit.
func (b *Tracker) CanContinue(server string, counted bool) bool {
	if b == nil {
		return true
	}
	if !b.HoldOffs.CanContinue(server) {
		return false
	}
	if !counted {
		b.Limits.Reserve(server, highestPriority)
	}
	return true
}

// IsLimited reports whether a server has a limit in force.
func (b *Tracker) IsLimited(server string) bool { return b != nil && b.Limits.IsLimited(server) }

// AcceptsBackground reports whether a server accepts work that no caller requested, such as a copy
// of a stream. A server with a limit or a hold-off does not.
func (b *Tracker) AcceptsBackground(server string) bool {
	return b == nil || !b.Limits.IsLimited(server) && b.HoldOffs.Elapsed(server)
}

// errWithheld means that a request is not sent because its server has reported meanwhile that it
// wants none.
var errWithheld = errors.New("withheld")

// CheckSend returns why a request must not be sent to the server that was chosen for it, nil if it
// may: the server may have reported a condition while the request waited for a connection.
func (b *Tracker) CheckSend(server string) error {
	if b == nil {
		return nil
	}
	if b.Departures.IsLeaving(server) {
		return fmt.Errorf("%w: %s", errWithheld, b.Departures.Describe(server))
	}
	if !b.HoldOffs.Elapsed(server) {
		return fmt.Errorf("%w: %s", errWithheld, b.HoldOffs.Describe(server))
	}
	return nil
}
