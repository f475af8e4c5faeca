package streaming

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/registry"
)

// freeTimeout bounds the call that frees a copy. An engine that does not answer within it is
// ending; the copy goes with it or expires soon after.
const freeTimeout = 500 * time.Millisecond

// discard frees the copy made while the generation ran, or accounts for one that cannot be freed.
func (x *run) discard(source *registry.Server, a *preCopy) {
	if a.maybeUnnamed() || x.free(source, a.copyName) != nil {
		x.trackOrphanedCopy(a.target)
	}
}

// free releases a copy of the generation, if there is one. Otherwise the copy would occupy the
// memory of a whole generation for seconds without any box accounting for it. All copies of a
// generation may share one name, so no other may be made before free returns.
func (x *run) free(source *registry.Server, name string) error {
	if name == "" {
		return nil
	}
	ctx, cancel := clockctx.WithTimeout(context.WithoutCancel(x.ctx), x.relay.Clock, freeTimeout)
	defer cancel()
	err := x.relay.Mover.Free(ctx, source, name)
	x.logFreed(source, err)
	return err
}

// freeBackup releases the backup copy of a generation that did not finish. Engines release the
// copies of finished generations themselves, and a newer instance holds no copy.
func (x *run) freeBackup() {
	x.mu.Lock()
	backup, begun := x.backup, x.split.Events() > 0
	x.mu.Unlock()
	if backup != nil && begun && !x.replaced(backup) {
		_ = x.free(backup, x.job.Request.ID) // already logged
	}
}

// trackOrphanedCopy accounts for a copy that a failed call may have left at the engine, until it
// expires.
func (x *run) trackOrphanedCopy(target *registry.Server) {
	life := x.job.Service.Engine.CopyTTL
	if life <= 0 {
		return
	}
	left := x.relay.EngineLoad.AddOrphanedCopy(target.ID, x.memoryTokens())
	x.relay.Clock.AfterFunc(life, func() {
		left.End()
		x.relay.loadChanged()
	})
}
