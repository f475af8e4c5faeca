package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/history"
)

// TestBacklog: what a box keeps stays within the bound; one that kept more is told once.
func TestBacklog(t *testing.T) {
	most := bounds.Default().KeptBytes
	kept := history.History{Kept: []history.Kept{{Box: "a", Life: 1, At: ms(500), Most: most}}}
	require.Empty(t, Backlog(on(kept)))
	kept.Kept = append(kept.Kept,
		history.Kept{Box: "b", Life: 1, At: ms(600), Most: most + 1}, history.Kept{Box: "b", Life: 1, At: ms(1100), Most: most + 9})
	found := Backlog(on(kept))
	require.Len(t, found, 1)
	require.Equal(t, ms(600), found[0].At)
}
