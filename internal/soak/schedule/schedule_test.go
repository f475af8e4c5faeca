package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

const (
	boxes    = 4
	duration = 8 * time.Second
)

func TestASeedAlwaysGivesTheSameSchedule(t *testing.T) {
	first := schedule.Draw(7, boxes, duration)
	require.Equal(t, first, schedule.Draw(7, boxes, duration))
	require.NotEqual(t, first, schedule.Draw(8, boxes, duration))
}

func TestActsAreInOrderAndOverInTime(t *testing.T) {
	for seed := range uint64(200) {
		last := time.Duration(0)
		for _, a := range schedule.Draw(seed, boxes, duration) {
			require.GreaterOrEqual(t, a.At, last)
			require.GreaterOrEqual(t, a.Lasts, time.Duration(0))
			require.LessOrEqual(t, a.At+a.Lasts, duration)
			last = a.At
		}
	}
}

// TestSeedsMixAllKinds: each kind comes, and acts on one target overlap.
func TestSeedsMixAllKinds(t *testing.T) {
	seen := make(map[history.Kind]int)
	overlaps := 0
	for seed := range uint64(200) {
		acts := schedule.Draw(seed, boxes, duration)
		for i, a := range acts {
			seen[a.Kind]++
			for _, b := range acts[:i] {
				if b.Target == a.Target && b.At+b.Lasts > a.At {
					overlaps++
				}
			}
		}
	}
	require.Len(t, seen, 45)
	require.Greater(t, overlaps, 1000)
}
