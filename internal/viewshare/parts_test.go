package viewshare

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// manyChanges returns a view in which every server is changed.
func manyChanges(view registry.View) registry.View {
	var changes []registry.Change
	for _, server := range view.Servers.All() {
		server.State = registry.Draining
		changes = append(changes, registry.Change{Server: server})
	}
	return view.With(changes, view.Revision+5)
}

// TestLargeChangeInParts: a change of hundreds of servers is sent in parts that fit, and is applied
// once, in whatever order they arrive.
func TestLargeChangeInParts(t *testing.T) {
	const most = 8000
	view := wholeView(1200)
	from, to := newShare(), newShare()
	from.OfferView(view)
	to.OfferView(view)
	from.MaxChangeBytes = most
	var parts [][]byte
	from.OnChange = func(data []byte) { parts = append(parts, data) }
	next := manyChanges(view)
	from.OfferView(next)
	require.Greater(t, len(parts), 4)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	for i, part := range parts {
		require.LessOrEqual(t, len(part), most)
		to.ReceiveChange("b", part)
		to.ReceiveChange("b", part)
		require.Equal(t, i == len(parts)-1, to.View().Revision == next.Revision)
	}
	require.Equal(t, next, *to.View())
	require.Empty(t, to.parts)
}

// TestPartsThatNeverCome: incomplete changes are dropped in favour of later ones, and invalid parts
// are dropped.
func TestPartsThatNeverCome(t *testing.T) {
	var p partial
	for i := range storerev.Revision(20) {
		require.Nil(t, p.put(&update{Base: i, Revision: i + 1, Part: 0, Parts: 2}))
		require.LessOrEqual(t, len(p), maxPartial)
	}
	require.Nil(t, p.put(&update{Base: 0, Revision: 1, Part: 1, Parts: 2}), "its first part is forgotten")
	require.NotNil(t, p.put(&update{Base: 19, Revision: 20, Part: 1, Parts: 2}))
	for _, u := range []update{{Part: 2, Parts: 2}, {Part: -1, Parts: 2}, {Part: 1, Parts: maxParts + 1}} {
		require.Nil(t, p.put(&u), fmt.Sprint(u))
	}
}
