package choose

import (
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/outlook"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

const (
	// lateMs is the cost of a generation that is made late, by a first event that comes too late or
	// by a pause that is too long, in the time that it weighs as: about two objectives, as such a
	// caller gets little of what it asked for. With much more, prompts crowd on fast engines until
	// their memory runs out.
	lateMs = 4000.0
	// mayBeLate is the part of the objective from which a first event that is expected then may
	// come too late; one that is expected at the objective does.
	mayBeLate = 0.75
)

// lateFirst returns how likely a first event is to come after the objective.
func (c *Chooser) lateFirst(engine string, load engineload.Load, need *Need, e *routetable.Engine) float64 {
	if need.Objective <= 0 {
		return 0
	}
	part := float64(c.firstEvent(engine, load, need, e)) / float64(need.Objective)
	return min(max(0, (part-mayBeLate)/(1-mayBeLate)), 1)
}

// meets returns what a generation is expected to lose on an engine, and to cost those that run there,
// by prompts that are read, in milliseconds.
func (c *Chooser) meets(m *registry.Member, load engineload.Load, need *Need, e *routetable.Engine) float64 {
	o := c.outlook(m.ID, load, e)
	g := need.generation()
	ms := float64(o.Read(g)) / float64(time.Millisecond)
	return ms + lateMs*(c.lateFirst(m.ID, load, need, e)+o.Own(g)+o.Others(g))
}

// generation returns what matters of the need to what it meets.
func (n *Need) generation() *outlook.Generation {
	return &outlook.Generation{Prompt: n.Prompt, Expected: n.Expected, MaxPause: n.MaxPause}
}
