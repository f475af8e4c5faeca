// Package registry holds what is known of the backend servers: their entries in the store as one
// immutable view, and the Directory that derives from it which servers may get new work.
package registry

import "time"

// State is the state that a backend server reports in its entry.
type State uint8

const (
	// Ready servers accept new work.
	Ready State = iota
	// Draining servers are about to leave and get no new work.
	Draining
)

// Server is the entry of one instance of a backend server, that is, of one life of its process.
// Immutable.
type Server struct {
	// ID identifies the instance, so that state kept by ID ends with the instance; see InstanceID.
	// Name is common to all instances of the server.
	ID string
	// Born is when the instance started, by the server's own clock, in Unix milliseconds; 0 if it
	// is not reported. It is not a time.Time because equal entries must compare equal on all boxes.
	Born    int64
	Service string
	// Addr is HOST:PORT.
	Addr   string
	Domain string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	State State
	// Warmup is how much longer the server is slow, counted from when the entry was written.
	Warmup time.Duration
}
