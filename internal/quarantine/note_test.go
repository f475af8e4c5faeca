package quarantine

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTriedForBounded guards against a peer's number of milliseconds that overflows into the past, so that
// another server is given a request that may be crashing one.
func TestTriedForBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, ms := range []int64{1, maxAttemptTime.Milliseconds(), math.MaxInt32, math.MaxInt64/1_000_000 + 1, math.MaxInt64} {
		w := trailWire{TriedForMs: ms}
		h, err := w.history(now, 1)
		require.NoError(t, err)
		require.Positive(t, h.triedUntil.Sub(now), "%d ms", ms)
		require.LessOrEqual(t, h.triedUntil.Sub(now), maxAttemptTime, "%d ms", ms)
	}
}
