package control

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/journal"
)

// maxWait bounds how long a fetch may wait here.
const maxWait = 30 * time.Second

// configuration hands on changes of the configuration.
type configuration interface {
	Wait(ctx context.Context, after uint64, wait time.Duration) *fleetdelta.Delta
}

// membership knows boxes and backend servers.
type membership interface {
	// Since returns the members if their revision differs from the asker's.
	Since(revision uint64) *Members
}

// Service answers peers and operators. Set the exported fields before it is
// registered.
type Service struct {
	// Ctx ends waits when the process stops.
	Ctx context.Context
	// Configuration hands on changes of the configuration.
	Configuration configuration
	// Membership knows boxes and backend servers.
	Membership membership
	// State returns the controller's state.
	State func() StatusReply
	// Explained returns the decisions on a request on this box.
	Explained func(request string, limit int) []journal.Event
	// Claimed answers a claim.
	Claimed func(ctx context.Context, args *ClaimArgs) ClaimReply
	// HearDemand takes what this box's router has to do, Demanded returns it.
	HearDemand func(demand map[string]float64)
	Demanded   func() map[string]float64
	// Box names this box.
	Box string
}

// Fetch returns what changed, waiting for a change if there is none.
func (s *Service) Fetch(args *FetchArgs, reply *FetchReply) error {
	wait := min(args.Wait, maxWait)
	if args.Demand != nil {
		s.HearDemand(args.Demand)
	}
	if m := s.members(args); m != nil {
		// News of the members should not wait for news of the configuration.
		reply.Members = m
		wait = 0
	}
	reply.Delta = s.Configuration.Wait(s.Ctx, args.After, wait)
	if reply.Members == nil {
		reply.Members = s.members(args)
	}
	return nil
}

// members returns news of the members, if any and if asked for.
func (s *Service) members(args *FetchArgs) *Members {
	if !args.WantMembers {
		return nil
	}
	return s.Membership.Since(args.Members)
}

// Status returns the controller's state.
func (s *Service) Status(_ *StatusArgs, reply *StatusReply) error {
	*reply = s.State()
	return nil
}

// Explain returns the decisions on a request on this box.
func (s *Service) Explain(args *ExplainArgs, reply *ExplainReply) error {
	reply.Box = s.Box
	reply.Events = s.Explained(args.Request, args.Limit)
	return nil
}

// Claim answers whether a keyed call may run.
func (s *Service) Claim(args *ClaimArgs, reply *ClaimReply) error {
	*reply = s.Claimed(s.Ctx, args)
	return nil
}

// Demand returns what this box's router has to do.
func (s *Service) Demand(_ *DemandArgs, reply *DemandReply) error {
	reply.Demand = s.Demanded()
	return nil
}
