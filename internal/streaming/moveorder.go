package streaming

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// maxTurnWait bounds the wait for other boxes, so that incorrect reports from them do not use
	// up the notice.
	maxTurnWait = 1100 * time.Millisecond
	// turnCheckInterval is the interval between checks for this box's turn: about the time in which
	// a heartbeat delivers an update.
	turnCheckInterval = 15 * time.Millisecond
	// turnSlack is the factor on the expected time per generation of other boxes, as some are
	// copied to another failure domain.
	turnSlack = 1.5
)

// awaitTurn waits until the boxes earlier in the move order have moved their generations off the
// engine, as reported in their heartbeats, or make no progress. A copy that starts earlier delays
// the last part of theirs, which prolongs the pause of their streams.
func (r *Relay) awaitTurn(x *run, engine *registry.Server) {
	each := time.Duration(turnSlack * float64(x.job.Service.Engine.MoveTime(x.memoryTokens())))
	began := r.Clock.Now()
	ticker := r.Clock.NewTicker(turnCheckInterval)
	defer ticker.Stop()
	ahead := r.generationsAhead(engine)
	patience := began.Add(time.Duration(ahead) * each)
	for ahead > 0 && r.Clock.Now().Before(patience) && r.Clock.Since(began) < maxTurnWait {
		select {
		case <-ticker.Chan():
		case <-x.ctx.Done():
			return
		}
		if left := r.generationsAhead(engine); left < ahead {
			ahead = left
			patience = r.Clock.Now().Add(time.Duration(ahead) * each)
		}
	}
}

// generationsAhead returns how many generations boxes earlier in the move order have still to move
// off the engine.
func (r *Relay) generationsAhead(engine *registry.Server) int {
	n := 0
	mine := moveOrder(r.Box, engine.ID)
	for box, bare := range r.EngineLoad.UnreplicatedByPeer(engine.ID) {
		if moveOrder(box, engine.ID) < mine {
			n += bare
		}
	}
	return n
}

func moveOrder(box, engine string) uint64 { return xxhash.Sum64String(engine + "/" + box) }
