package streaming

import (
	"context"

	"github.com/dalebend/dalebend/internal/exchange"
)

// answer is an engine's answer. One goroutine reads and closes its body; another
// may give it up, which ends a read that is under way.
type answer struct {
	*exchange.Response
	giveUp context.CancelFunc
}

func (a *answer) close() {
	// The body is closed first, so that a connection whose answer was read to its
	// end is kept.
	_ = a.Body.Close() // of an exchange it never fails
	a.giveUp()
}
