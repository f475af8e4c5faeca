package routetable

import "time"

// Repeat defines how often a request of a route may run.
type Repeat uint8

const (
	// Once means that a request runs at most once for each attempt of a caller.
	Once Repeat = iota
	// Repeatable means that a request may run more than once.
	Repeatable
)

// Route defines where requests for a host and path are sent. Immutable.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host and PathPrefix select requests; the prefix begins and ends with a slash.
	Host       string
	PathPrefix string
	// Targets are the services that share the requests, by weight.
	Targets []Target
	Repeat  Repeat
	// Stream means that answers are event streams.
	Stream bool
	// Resumable means that a stream may be continued by a new run.
	Resumable bool
	// Sticky means that requests name parts of their prompt.
	Sticky bool
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that callers expect.
	Objective time.Duration
	// MaxPause is the longest pause between a stream's events that callers accept; 0 means not
	// stated.
	MaxPause time.Duration
	// Priority is the priority of the route, 0 the most urgent.
	Priority int
	// MaxServers is the number of backend servers that may run one request.
	MaxServers int
	// Anonymous routes need no key.
	Anonymous bool
	// AllowedRegions are the regions that its requests may be sent to.
	AllowedRegions AllowedRegions
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is its share, relative to the route's other targets.
	Weight int
}

// Account is a client account. Immutable.
type Account struct {
	Name string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions that its requests may be sent to.
	AllowedRegions AllowedRegions
}
