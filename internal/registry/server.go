// Package registry holds what is known of the backend servers: their own
// entries as one immutable view, and what follows for new work.
package registry

import "time"

// State is what a backend server says of itself.
type State uint8

const (
	// Ready servers take new work.
	Ready State = iota
	// Draining servers are about to leave and get no new work.
	Draining
)

// Server is one start of a backend server, by its own entry. It is read only.
type Server struct {
	// ID names this start of the server, so that what is kept by it ends with the start; see
	// StartID. Name is what all starts share.
	ID string
	// Born is when this start began by the server's own clock, in Unix milliseconds, 0 if it
	// does not say. It is no time.Time, since equal entries must compare as equal on all boxes.
	Born int64
	// Service names the service that it belongs to.
	Service string
	// Addr is HOST:PORT.
	Addr string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// State is what it says of itself.
	State State
	// Warmup is how much longer the server is slow, from when the entry was written.
	Warmup time.Duration
}
