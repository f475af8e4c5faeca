package streaming

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/registry"
)

// freeTime bounds the call that frees a copy: an engine that has not answered by then is ending, and
// the copy with it or soon after by itself.
const freeTime = 500 * time.Millisecond

// free gives back the memory of a copy of the generation, if there is one. The copy takes the memory
// of a whole generation at an engine for seconds otherwise, of which no box knows. All copies of a
// generation may have one name, so that no further one may be made before it returns.
func (x *run) free(source *registry.Server, name string) {
	if name == "" {
		return
	}
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(x.ctx), x.relay.Clock, freeTime)
	defer cancel()
	err := x.relay.Mover.Free(ctx, source, name)
	x.logFreed(source, err)
}
