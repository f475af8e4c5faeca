package routetable_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/routetable"
)

// TestCopyTime: 4,000 tokens of 160 KiB are 655 MB, 0.22 s over 24 Gbit/s.
func TestCopyTime(t *testing.T) {
	e := &routetable.Engine{TokenBytes: 160 << 10, LinkMbps: 24000}
	require.InDelta(t, 218, e.CopyTime(4000).Milliseconds(), 1)
	require.Equal(t, e.CopyTime(4000)+60*time.Millisecond, e.MoveTime(4000))
	e.LinkMbps = 8000
	require.InDelta(t, 655, e.CopyTime(4000).Milliseconds(), 1)
	require.Zero(t, e.CopyTime(0))
	require.Positive(t, (&routetable.Engine{LinkMbps: 24000}).CopyTime(1), "the size of a token is not declared")
}
