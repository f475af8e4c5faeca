package streaming

import (
	"cmp"
	"slices"

	"github.com/dalebend/dalebend/internal/drainplan"
	"github.com/dalebend/dalebend/internal/registry"
)

// cutOffProbability returns the probability that the generation is still running when its leaving
// engine ends.
func (x *run) cutOffProbability(engine *registry.Server) float64 {
	x.mu.Lock()
	g := drainplan.Generation{
		Generated: x.split.Events() * x.job.Service.Engine.TokensPerEvent,
		MaxTokens: x.job.Request.MaxTokens,
		Outlives:  x.relay.AnswerLengths.Curve(lengthKey(x.job)).SurvivalProbability,
	}
	if !x.lastPassed.IsZero() {
		g.Elapsed = x.relay.Clock.Since(x.began.Add(x.timeToFirstEvent))
	}
	x.mu.Unlock()
	return g.CutOffProbability(x.relay.ShutdownNotice.Remaining(engine.ID))
}

// sortByCutOff sorts the generations by the probability of being cut off, highest first. Other
// boxes need not wait for those that will probably finish in time.
func (r *Relay) sortByCutOff(engine *registry.Server, runs []*run) {
	chances := make(map[*run]float64, len(runs))
	for _, x := range runs {
		chances[x] = x.cutOffProbability(engine)
		if x.started() && !drainplan.WorthMoving(chances[x], 0) {
			x.skipMove()
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(chances[b], chances[a]) })
}

// skipMove reports to the other boxes that they need not wait for a move of the generation.
func (x *run) skipMove() {
	x.mu.Lock()
	if x.load != nil {
		x.load.EndMove()
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}
