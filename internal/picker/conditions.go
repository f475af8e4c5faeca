package picker

import (
	"slices"

	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

// RefusalReason returns a *condition.RefusedError if no server of a service accepts a request
// because of their stated conditions, else nil. The arguments are those of PickServer.
func (c *Picker) RefusalReason(service string, priority int, homes routetable.AllowedRegions, avoid []string) error {
	choice := condition.Candidates{Service: service, Priority: priority, Leaving: c.Directory.Declining(service)}
	for _, m := range c.Directory.Service(service) {
		switch {
		case !homes.Allow(c.region(m.Domain)):
		case slices.Contains(avoid, m.ID):
			choice.Tried = append(choice.Tried, m.ID)
		default:
			choice.Servers = append(choice.Servers, m.ID)
		}
	}
	if refused := c.Conditions.Refuse(&choice); refused != nil {
		return refused
	}
	return nil
}

// mostUrgent is the priority of running streams, which go before all new requests.
const mostUrgent = 0

// accepts reports whether a server may get a request of a priority from this box now. The lock must
// be held.
func (c *Picker) accepts(m *registry.Member, priority int) bool {
	if !c.Conditions.Accepts(m.ID, m.Service, priority) || !c.Conditions.HasRoom(m.ID, m.Service, m.Slots, c.inFlight[m.ID]) {
		return false
	}
	if c.ColdGate == nil || !m.Cold(c.Directory.Clock.Now()) {
		return true
	}
	return c.ColdGate.Accepts(m.ID, c.ColdRate(m.Service))
}

// recordSent counts a request to a candidate, which may be nil, against the limits of the server.
// The lock must be held from the choice on, so that no two requests take the same permit.
func (c *Picker) recordSent(to *Candidate, priority int) *Candidate {
	if to == nil {
		return nil
	}
	c.Conditions.Reserve(to.ID, priority)
	if to.cold && c.ColdGate != nil {
		c.ColdGate.RecordSent(to.ID)
	}
	return to
}

// CanContinue reports whether a stream may continue at a server that holds its memory. It counts
// the request unless counted is set, that is, if it was counted when the server was picked.
func (c *Picker) CanContinue(server *registry.Server, counted bool) bool {
	if !c.Conditions.CanContinue(server.ID, counted) {
		return false
	}
	if c.ColdGate != nil && !counted {
		c.ColdGate.RecordSent(server.ID)
	}
	return true
}

// AllowProbe reports whether a server may be asked for its status, and counts the probe against the
// server's limit: at a limit of 3 requests per second, the probes of one box alone would come to 4.
func (c *Picker) AllowProbe(server *registry.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Conditions.Accepts(server.ID, server.Service, mostUrgent) {
		return false
	}
	c.Conditions.Reserve(server.ID, mostUrgent)
	return true
}
