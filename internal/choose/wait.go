package choose

import (
	"time"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/pace"
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
	lacks := missing(to.Load, need, e)
	ms := float64(to.Load.Prefill+need.Prompt) * c.promptMs()
	if lacks > 0 {
		ms += float64(lacks) / freedPerMs
	}
	to.Wait = admission.Wait{
		First:  time.Duration(ms * float64(time.Millisecond)),
		Queued: lacks > 0 || to.Load.Prefill > 0 || to.Load.Streams >= e.Slots,
	}
	return to
}

// missing returns the memory that a generation's prompt lacks on an engine, in tokens; below 0
// is room.
func missing(load engineload.Load, need *Need, e *routetable.Engine) int {
	soon := int(soonGrown * float64(load.Growth))
	return load.Tokens + load.Copies + soon + need.Prompt - e.MemoryTokens
}

// promptMs is the time that an engine takes to read a prompt token, in milliseconds.
func (c *Chooser) promptMs() float64 {
	prompts := c.Prompts
	if prompts == nil {
		prompts = &pace.Prompts{}
	}
	return float64(prompts.PerToken()) / float64(time.Millisecond)
}
