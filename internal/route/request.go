// Package route decides which engine takes a generation.
//
// Forecast examines a bounded number of engines: those that follow the prompt's first
// block on the hash ring, two at random, and one that has just freed memory. Package
// policy has the baselines that it is compared with.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/dalebend/dalebend/internal/hashring"
	"github.com/dalebend/dalebend/internal/health"
	"github.com/dalebend/dalebend/internal/occupancy"
)

// Request describes a generation to a policy.
type Request struct {
	// Stream is the memory use of the generation, if placed.
	Stream *occupancy.Stream
	// Blocks identify prefixes of the prompt, see package prefix.
	Blocks []uint64
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Expected is the estimated mean length of the answer, in tokens.
	Expected float64
	// Avoid is the name of a backend server that just failed this request.
	Avoid string
}

// Engine is a candidate with its estimated memory use and observed health.
type Engine struct {
	*occupancy.Engine
	*health.Health

	// Part is this box's share of the engine, 0 to 1.
	Part float64
}

// View is the input of a policy besides the request.
type View struct {
	// Ring holds the engines of the model that this box may use.
	Ring *hashring.Ring[*Engine]
	// Freed is an engine that has just freed memory; may be nil.
	Freed *Engine
	// Domain is the failure domain of this box.
	Domain string
	// Usable reports whether an engine may get new work.
	Usable func(*Engine) bool
	// Terms are the limits of the memory check.
	Terms occupancy.FitLimits
	// Rand picks random candidates.
	Rand *rand.Rand
	// Now is the time of the decision.
	Now time.Time
}
