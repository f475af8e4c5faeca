package history

import "time"

// Scope says what a trouble strikes.
type Scope string

// Scopes.
const (
	// OnBox troubles strike a box, its callers' links included.
	OnBox Scope = "box"
	// OnStoreLink troubles strike the links of a box to the store.
	OnStoreLink Scope = "store-link"
	// OnServerPaths troubles strike the paths of a box to all backend servers. The box stays in touch.
	OnServerPaths Scope = "server-paths"
	// OnServer troubles strike a backend server or the links to it.
	OnServer Scope = "server"
	// OnStore troubles strike the store, for all boxes.
	OnStore Scope = "store"
	// OnAll troubles strike everything: the soak itself was held up.
	OnAll Scope = "all"
)

// Kind is the kind of a trouble.
type Kind string

// Kinds that checkers tell apart. All others are those of package schedule.
const (
	// Start lasts from a process's start until it is ready.
	Start Kind = "start"
	// Stop lasts from SIGTERM to the end of the process.
	Stop Kind = "stop"
	// Down lasts from the end of a process to the next start.
	Down Kind = "down"
	// Held is when the soak itself was not run in time.
	Held Kind = "held"
)

// Trouble is a disturbance.
type Trouble struct {
	Kind   Kind          `json:"kind"`
	Scope  Scope         `json:"scope"`
	Target string        `json:"target,omitempty"`
	From   time.Duration `json:"from"`
	// To is when it ended. Those without an end last to the end of the run.
	To time.Duration `json:"to"`
}
