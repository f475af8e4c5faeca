// Package gather has several pieces of news make one message.
package gather

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Gatherer hands news over once, a while after the first of it came. The zero value is ready.
type Gatherer struct {
	waiting atomic.Bool
}

// Soon has do called in a goroutine of its own when the time has passed, unless a call waits already.
// What comes while do runs leads to another call. Whoever calls it under a lock may take the same one in
// do.
func (g *Gatherer) Soon(clock clockwork.Clock, after time.Duration, do func()) {
	if g.waiting.Swap(true) {
		return
	}
	clock.AfterFunc(after, func() {
		g.waiting.Store(false)
		do()
	})
}
