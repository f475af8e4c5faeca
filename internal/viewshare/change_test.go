package viewshare

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/storerev"
)

// changesOf returns the changes that a box publishes when it reads views from the store.
func changesOf(revisions ...storerev.Revision) map[storerev.Revision][]byte {
	changes := make(map[storerev.Revision][]byte)
	s := newShare()
	last := storerev.Revision(0)
	s.OnChange = func(change []byte) { changes[last] = change }
	for _, revision := range revisions {
		s.OfferView(viewAt(revision))
		last = revision
	}
	return changes
}

// TestTakeChange: changes lead from view to view, in whatever order they arrive.
func TestTakeChange(t *testing.T) {
	changes := changesOf(3, 5, 6, 9)
	require.Len(t, changes, 3)
	for _, order := range [][]storerev.Revision{{3, 5, 6}, {6, 5, 3}, {5, 3, 6}, {3, 6, 3, 5, 5}} {
		s := newShare()
		s.OfferView(viewAt(3))
		for _, base := range order {
			s.ReceiveChange("b", changes[base])
		}
		require.Equal(t, viewAt(9), *s.View(), "%v", order)
		_, source := s.Sources()
		require.Equal(t, SourceNote, source)
		require.Equal(t, "b", s.Teller())
		require.Empty(t, s.early)
	}
}

// TestMissedChange: when a change is missing the view stays as it is, and continues from the view
// that is fetched instead.
func TestMissedChange(t *testing.T) {
	changes := changesOf(3, 5, 6, 9)
	s := newShare()
	s.ReceiveChange("b", changes[3])
	require.Nil(t, s.View(), "nothing to change yet")
	s.OfferView(viewAt(3))
	s.ReceiveChange("b", changes[6])
	require.Equal(t, storerev.Revision(3), s.View().Revision)
	s.applyView(viewAt(6), viewSource{source: "peer", teller: "peer"})
	s.ReceiveChange("b", changes[5])
	require.Equal(t, storerev.Revision(6), s.View().Revision, "it is old")
	s.ReceiveChange("b", changes[6])
	require.Equal(t, viewAt(9), *s.View())
}

// TestForeignChange: a change based on another view than the held one is refused, and so is invalid
// data.
func TestForeignChange(t *testing.T) {
	changes := changesOf(3, 5)
	s := newShare()
	other := viewAt(4)
	other.Revision = 3
	s.OfferView(other)
	s.ReceiveChange("b", changes[3])
	s.ReceiveChange("b", []byte("rubbish"))
	s.ReceiveChange("b", nil)
	require.Equal(t, other, *s.View())
}

// TestOnChange: only views from the store are published.
func TestOnChange(t *testing.T) {
	s := newShare()
	published := 0
	s.OnChange = func([]byte) { published++ }
	s.OfferView(viewAt(3))
	require.Zero(t, published, "there is no earlier view")
	s.applyView(viewAt(4), viewSource{source: "peer", teller: "peer"})
	s.ReceiveChange("b", changesOf(4, 5)[4])
	require.Equal(t, storerev.Revision(5), s.View().Revision)
	require.Zero(t, published)
	s.OfferView(viewAt(6))
	require.Equal(t, 1, published)
}

// TestManyEarly: the changes that wait for one that never arrives are bounded.
func TestManyEarly(t *testing.T) {
	s := newShare()
	s.OfferView(viewAt(1))
	for revision := range storerev.Revision(100) {
		s.ReceiveChange("b", changesOf(revision+10, revision+11)[revision+10])
	}
	require.Len(t, s.early, maxEarly)
}
