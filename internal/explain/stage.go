package explain

import "github.com/dalebend/dalebend/internal/exchange"

// neverSent reports whether an attempt that failed at the stage can't have run.
func neverSent(stage string) bool {
	return stage == exchange.NotSent.String() || stage == exchange.NoConnection.String() || stage == exchange.Withheld.String()
}
