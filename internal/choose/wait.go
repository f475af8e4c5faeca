package choose

import (
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/outlook"
	"github.com/dalebend/dalebend/internal/pace"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

const (
	// freedPerMs is the memory that the generations of a full engine give back in a millisecond
	// when they end, less what the others grow by, in tokens: five that hold 20,000 and run for
	// some 8 s give back 2.5 and grow by 0.4.
	freedPerMs = 1.5
	// soonGrown is the part of the growth to come that is there by the time when a prompt has
	// been read. With it 41, 83 and 81 generations were pushed out on three heavy days, and 48,
	// 83 and 95 when what will be there was not counted.
	soonGrown = 0.25
)

// awaited adds to a candidate, which may be nil, how long the generation is expected to wait.
func (c *Chooser) awaited(to *Candidate, need *Need, e *routetable.Engine) *Candidate {
	if to == nil {
		return nil
	}
	o := c.outlook(to.ID, to.Load, e)
	to.Pauses = o.Own(need.generation()) + o.Others(need.generation())
	to.Wait = admission.Wait{
		First:  c.firstEvent(to.ID, to.Load, need, e),
		Queued: missing(to.Load, need, e) > 0 || to.Load.Prefill > 0 || to.Load.Streams >= e.Slots,
	}
	return to
}

// firstEvent returns how long a generation is expected to wait for its first event on an engine.
func (c *Chooser) firstEvent(engine string, load engineload.Load, need *Need, e *routetable.Engine) time.Duration {
	ms := float64(load.Prefill+need.Prompt) * c.promptMs(engine)
	if lacks := missing(load, need, e); lacks > 0 {
		ms += float64(lacks) / freedPerMs
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// lateFirst returns how likely a first event is to come after the objective.
func (c *Chooser) lateFirst(engine string, load engineload.Load, need *Need, e *routetable.Engine) float64 {
	if need.Objective <= 0 {
		return 0
	}
	part := float64(c.firstEvent(engine, load, need, e)) / float64(need.Objective)
	return min(max(0, (part-mayBeLate)/(1-mayBeLate)), 1)
}

// missing returns the memory that a generation's prompt lacks on an engine, in tokens; below 0
// is room.
func missing(load engineload.Load, need *Need, e *routetable.Engine) int {
	soon := int(soonGrown * float64(load.Growth))
	return load.Tokens + load.Copies + soon + need.Prompt - e.MemoryTokens
}

// promptMs is the time that an engine takes to read a prompt token, in milliseconds: the usual time,
// less or more as it makes tokens faster or slower than usual.
func (c *Chooser) promptMs(engine string) float64 {
	prompts := c.Prompts
	if prompts == nil {
		prompts = &pace.Prompts{}
	}
	return float64(prompts.PerToken()) / float64(time.Millisecond) * c.slowness(engine)
}

// slowness returns how many times the usual an engine takes for a token.
func (c *Chooser) slowness(engine string) float64 {
	if c.Tempo == nil {
		return 1
	}
	usual := c.Tempo.Usual()
	if usual <= 0 {
		return 1
	}
	times := float64(c.Tempo.PerToken(engine)) / float64(usual)
	if math.Abs(math.Log(times)) < alike {
		return 1
	}
	return times
}

// outlook returns what is believed of an engine.
func (c *Chooser) outlook(engine string, load engineload.Load, e *routetable.Engine) *outlook.Engine {
	o := &outlook.Engine{
		Load: load, PerEvent: e.TokensPerEvent,
		PerPromptToken: time.Duration(c.promptMs(engine) * float64(time.Millisecond)),
	}
	if c.Tempo != nil {
		o.PerToken = c.Tempo.PerToken(engine)
		o.Beyond = c.Tempo.Beyond
	}
	if c.Prefill != nil {
		o.Reading = min(1, c.Prefill.PerSecond(engine)*o.PerPromptToken.Seconds())
	}
	return o
}

const (
	// lateMs is the cost of a generation that is made late, by a first event that comes too late or
	// by a pause that is too long, in the time that it weighs as: about two objectives, as such a
	// caller gets little of what it asked for. With three times as much, prompts crowd on fast
	// engines until their memory runs out: 13 generations instead of 1 were pushed out on a calm day.
	lateMs = 4000.0
	// mayBeLate is the part of the objective from which a first event that is expected then may
	// come too late; one that is expected at the objective does.
	mayBeLate = 0.75
	// alike is the logarithm of the factor within which engines count as equally fast: how many
	// run on an engine alone makes that difference. Without it what waits was thought to wait
	// longer on busy engines, and 69 callers instead of 27 were refused twice on a heavy day.
	alike = 0.22
)

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
