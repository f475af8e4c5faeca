// Package digest encodes the datagrams in which boxes report their state: the identity of a box,
// the versions of its configuration, and its load on the backend servers.
//
// A digest is the whole state of one box, an update the changes to it, and a note a message that a
// box broadcasts once. Bundles carry these for several boxes, as relays forward them.
//
// All are encoded as msgpack arrays without field names. Decoding is bounded, so that a corrupt
// datagram can neither exhaust memory nor crash the process.
package digest

import "github.com/dalebend/dalebend/internal/storerev"

// Digest is the state of one box at one moment.
type Digest struct {
	// Box, Addr, CallAddr and Domain identify the sender; see Member.
	Box      string
	Addr     string
	CallAddr string
	Domain   string
	// Incarnation is the start time of the process in ns. It distinguishes restarts of a box.
	Incarnation int64
	// Seq rises by one with each digest or update of an incarnation. A digest that goes to several
	// boxes has one number.
	Seq uint64
	// Strength is the box's capacity as a relay; the higher the better, 0 if unknown.
	Strength int32
	// IntervalMs is the longest time to the next digest for the same receiver.
	IntervalMs int32
	// Join requests an answer with members.
	Join bool
	// ConfigVersion is the version of the box's configuration, 0 if it has none, and ConfigEra the era of
	// the store in which it was last read.
	ConfigVersion int64
	ConfigEra     int64
	// ViewRevision is the revision of its view of the backend servers, 0 if it has none.
	ViewRevision storerev.Revision
	// CordonRevision is the revision of Cordoned, the failure domains that get no new work; 0 if
	// they are not known.
	CordonRevision storerev.Revision
	Cordoned       []string
	// StoreTried means that the box has recently called the store; StoreReachable is meaningful
	// only then.
	StoreTried     bool
	StoreReachable bool
	// StoreAgeMs is the time since the store last answered, or -1 if it never has.
	StoreAgeMs int32
	// Leaving means that the box is shutting down and accepts no new work.
	Leaving bool
	// Loads holds the box's load on each backend server.
	Loads []Load
	// Troubles are the failures of backend servers that the box observed.
	Troubles []ServerFailure
	// Attempts counts the requests sent to each service within the window of the retry budget.
	Attempts []Attempts
	// Members is a sample of the boxes that the sender considers live. Only answers to new boxes
	// and a few heartbeats carry it.
	Members []Member
}

// Load is the load of one box on one backend server.
type Load struct {
	// Server is the id of the backend server.
	Server string
	// Streams is the number of running streams.
	Streams int32
	// Tokens is the number of tokens that they hold in the server's memory.
	Tokens int32
	// Growth is the number of tokens that they are expected to add.
	Growth int32
	// Prefill is the number of pending prefill tokens.
	Prefill int32
	// Copies is the number of tokens in replicas that the server holds for this box.
	Copies int32
	// Bare is the number of running streams without a replica on another server.
	Bare int32
	// Arriving is the number of replicas of streams in transit to the server.
	Arriving int32
	// Pace is the server's decode rate as observed by the box, in the encoding of package
	// decodetime; 0 if unknown.
	Pace int32
}

// ServerFailure is a failure of a backend server that a box observed.
type ServerFailure struct {
	// Server is the id of the backend server.
	Server string
	// AgeMs is the time since the failure.
	AgeMs int32
	// Kind is the kind of failure; the reporting package defines its values.
	Kind uint8
}

// Attempts counts the requests that one box sent to one service.
type Attempts struct {
	// Service is the name of the service.
	Service string
	// First is the number of first attempts, Second that of all further ones.
	First  int32
	Second int32
}

// Member is a box and its addresses.
type Member struct {
	// Name identifies the box in the fleet.
	Name string
	// Addr is the UDP address of its heartbeats, as host:port.
	Addr string
	// CallAddr is the TCP address of its remote procedure calls, as host:port.
	CallAddr string
	// Domain is the box's failure domain.
	Domain string
}

// Config returns the version of the configuration and its era.
func (d *Digest) Config() storerev.ConfigVersion {
	return storerev.ConfigVersion{Number: d.ConfigVersion, Era: d.ConfigEra}
}
