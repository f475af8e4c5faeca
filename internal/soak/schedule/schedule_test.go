package schedule_test

import (
	"maps"
	"slices"
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
	require.Len(t, seen, 46)
	require.Greater(t, overlaps, 1000)
}

// TestCalm: a calm run has planned work, servers that leave unheard in three of four seeds, and returns of the store.
func TestCalm(t *testing.T) {
	seen := make(map[history.Kind]int)
	for seed := range uint64(200) {
		acts := schedule.DrawCalm(seed, duration)
		require.Equal(t, acts, schedule.DrawCalm(seed, duration))
		for _, a := range acts {
			seen[a.Kind]++
			require.LessOrEqual(t, a.At+a.Lasts, duration)
		}
	}
	require.InDelta(t, 150, seen[schedule.FollowersCut]+seen[schedule.BoxesSleep], 20)
	for _, kind := range []history.Kind{schedule.FollowersCut, schedule.BoxesSleep} {
		require.Greater(t, seen[kind], 50)
		delete(seen, kind)
	}
	require.ElementsMatch(t, []history.Kind{
		schedule.ConfigChanges, schedule.ServerDrains, schedule.ServerVanishes, schedule.BoxStop, schedule.StoreReturns,
	}, slices.Collect(maps.Keys(seen)))
}
