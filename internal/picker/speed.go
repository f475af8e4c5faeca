package picker

import (
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/latencymodel"
	"github.com/dalebend/dalebend/internal/prefilltime"
	"github.com/dalebend/dalebend/internal/routetable"
)

// similarSpeed is the logarithm of the speed ratio below which engines count as equally fast: the
// number of generations on an engine alone makes that much difference, and generations there would
// seem to wait longer.
const similarSpeed = 0.22

// defaultPrefillTime has no observations, and so returns the default time per prompt token.
var defaultPrefillTime prefilltime.Estimator

// prefillMsPerToken returns the time per prompt token of an engine in milliseconds: the estimate
// over all engines, scaled by how much slower than the median this one decodes.
func (c *Picker) prefillMsPerToken(engine string) float64 {
	prompts := c.PrefillTime
	if prompts == nil {
		prompts = &defaultPrefillTime
	}
	return float64(prompts.PerToken()) / float64(time.Millisecond) * c.slowness(engine)
}

// slowness returns the engine's time per output token relative to the median; 1 for small
// differences and for unknown engines.
func (c *Picker) slowness(engine string) float64 {
	if c.DecodeTime == nil {
		return 1
	}
	usual := c.DecodeTime.Median()
	if usual <= 0 {
		return 1
	}
	ratio := float64(c.DecodeTime.PerToken(engine)) / float64(usual)
	if math.Abs(math.Log(ratio)) < similarSpeed {
		return 1
	}
	return ratio
}

// latencyModel returns the model of an engine with its load, speed and prefill rate.
func (c *Picker) latencyModel(engine string, load engineload.Load, e *routetable.Engine) latencymodel.Engine {
	model := latencymodel.Engine{
		Load: load, TokensPerEvent: e.TokensPerEvent,
		PerPromptToken: time.Duration(c.prefillMsPerToken(engine) * float64(time.Millisecond)),
	}
	if c.DecodeTime != nil {
		model.PerToken = c.DecodeTime.PerToken(engine)
		model.Slowdowns = c.DecodeTime
	}
	if c.PrefillDemand != nil {
		model.PrefillRatio = min(1, c.PrefillDemand.PerSecond(engine)*model.PerPromptToken.Seconds())
	}
	return model
}
