// Package control holds the messages between routers, controllers and dalebendctl,
// and the net/rpc service that answers them.
package control

import (
	"time"

	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/journal"
)

// ServiceName is the name that the service is registered under.
const ServiceName = "Control"

// Methods of the service.
const (
	MethodFetch   = ServiceName + ".Fetch"
	MethodStatus  = ServiceName + ".Status"
	MethodExplain = ServiceName + ".Explain"
	MethodClaim   = ServiceName + ".Claim"
	MethodDemand  = ServiceName + ".Demand"
)

// FetchArgs asks for what changed.
type FetchArgs struct {
	// After is the configuration version that the asker has.
	After uint64
	// WantMembers asks for news of the members too, and Members is the revision that
	// the asker has.
	WantMembers bool
	Members     uint64
	// Wait is how long to wait for a change.
	Wait time.Duration
	// Demand is what the asking router has to do, by model; nil from controllers.
	Demand map[string]float64
}

// FetchReply is what changed; both parts may be missing.
type FetchReply struct {
	// Delta is the change of the configuration.
	Delta *fleetdelta.Delta
	// Members is the change of the members.
	Members *Members
}

// Members is what a controller knows of boxes and backend servers.
type Members struct {
	// Revision rises with each change at one controller.
	Revision uint64
	// Boxes names the live entry boxes, sorted.
	Boxes []string
	// Routers holds the addresses of routers for other routers, by box.
	Routers map[string]string
	// Leaving names backend servers that the platform takes away.
	Leaving []string
	// Isolated says that the controller reaches neither the store nor a peer.
	Isolated bool
}

// StatusArgs asks for a controller's state.
type StatusArgs struct{}

// StatusReply is a controller's state.
type StatusReply struct {
	Box       string
	Domain    string
	Version   uint64
	Digest    string
	StoreDown bool
	Isolated  bool
	Watcher   bool
	Boxes     int
	// Counters holds the controller's counters by name.
	Counters map[string]int64
	// Notes tells what stands still and why.
	Notes []string
}

// ExplainArgs asks for the decisions on a request, or the latest of all when
// Request is empty.
type ExplainArgs struct {
	Request string
	Limit   int
}

// ExplainReply holds the decisions of one box.
type ExplainReply struct {
	Box    string
	Events []journal.Event
}

// ClaimArgs asks to run a keyed call once, or gives its key back.
type ClaimArgs struct {
	Account string
	Key     string
	Release bool
	// Direct asks the answerer to write the claim itself, whoever owns the shard.
	Direct bool
}

// ClaimReply is the verdict, as package claim has it.
type ClaimReply struct {
	Verdict uint8
}

// DemandArgs asks what a box's router has to do.
type DemandArgs struct{}

// DemandReply is the work that waits or runs at a box's router, by model.
type DemandReply struct {
	Demand map[string]float64
}
