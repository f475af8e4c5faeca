package streaming

import (
	"context"

	"github.com/dalebend/dalebend/internal/exchange"
)

// answer is an engine's answer. One goroutine reads and closes its body; another may call giveUp,
// which interrupts a pending read.
type answer struct {
	*exchange.Response
	giveUp context.CancelCauseFunc
}

func (a *answer) close() {
	// Closing the body before cancelling keeps the connection for reuse if the answer was read to
	// its end.
	_ = a.Body.Close() // never fails for a body of package exchange
	a.giveUp(nil)
}
