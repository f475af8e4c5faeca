// Package pause waits in the parts of a soak, until a time has passed or the soak ends.
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a time, and reports whether the context still goes on then. It returns
// false as soon as the context ends.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	select {
	case <-clock.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
