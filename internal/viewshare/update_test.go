package viewshare

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/docpatch"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

func newShare() *Share {
	return &Share{Decode: decodeDoc, Clock: newClock(), Logger: slog.New(slog.DiscardHandler)}
}

// TestUpdateBase: an update has only the changes if a step begins at the requester's revision, and
// is the whole view otherwise.
func TestUpdateBase(t *testing.T) {
	s := newShare()
	for _, revision := range []storerev.Revision{10, 12, 14} {
		s.OfferView(viewAt(revision))
	}
	for since, base := range map[storerev.Revision]storerev.Revision{0: 0, 9: 0, 10: 10, 11: 0, 12: 12, 13: 0} {
		data, revision, whole, err := s.encodedView(since)
		require.NoError(t, err)
		require.Equal(t, storerev.Revision(14), revision)
		require.Equal(t, base == 0, whole)
		if whole {
			data, err = docpatch.Decode(nil, data)
			require.NoError(t, err)
		}
		u, err := decode(data)
		require.NoError(t, err)
		require.Equal(t, base, u.Base, "since %d", since)
	}
	data, _, _, err := s.encodedView(14)
	require.NoError(t, err)
	require.Empty(t, data)
}

// TestEncodedOnce: peers that ask for the same update share its bytes until the view changes.
func TestEncodedOnce(t *testing.T) {
	s := newShare()
	s.OfferView(viewAt(3))
	s.OfferView(viewAt(4))
	for _, since := range []storerev.Revision{0, 3} {
		first, _, _, err := s.encodedView(since)
		require.NoError(t, err)
		second, _, _, err := s.encodedView(since)
		require.NoError(t, err)
		require.Same(t, &first[0], &second[0])
	}
	s.OfferView(viewAt(5))
	_, revision, _, err := s.encodedView(3)
	require.NoError(t, err)
	require.Equal(t, storerev.Revision(5), revision)
}

// TestApplyElsewhere: changes are applied only to the view that they are based on.
func TestApplyElsewhere(t *testing.T) {
	to, other := viewAt(5), viewAt(3)
	sum, err := new(checksums).of(&to)
	require.NoError(t, err)
	u := &update{Base: 4, Revision: 5, Changes: difference(&other, &to), Checksum: sum}
	_, err = u.apply(&other, new(checksums))
	require.ErrorIs(t, err, errMismatch)
	_, err = u.apply(nil, new(checksums))
	require.ErrorIs(t, err, errMismatch)
}

// TestChecksum: a view has one checksum, whatever views were seen before, and a change of any entry
// changes it.
func TestChecksum(t *testing.T) {
	kept := new(checksums)
	sums := make(map[uint64]bool)
	for revision := range storerev.Revision(40) {
		view := viewAt(revision + 1)
		sum, err := kept.of(&view)
		require.NoError(t, err)
		anew, err := new(checksums).of(&view)
		require.NoError(t, err)
		require.Equal(t, anew, sum)
		sums[sum] = true
	}
	require.Greater(t, len(sums), 30)
}

// BenchmarkTakeChange decodes and applies a note that changes one server. At 130, 1,000, 10,000 and
// 20,000 servers, copying and comparing whole views took 134, 1,360, 18,325 and 37,506 us; this
// takes 27, 45, 200 and 373 us.
func BenchmarkTakeChange(b *testing.B) {
	for _, servers := range []int{130, 1000, 10000, 20000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			view := wholeView(servers)
			from, to := newShare(), newShare()
			from.OfferView(view)
			to.OfferView(view)
			from.OnChange = func(change []byte) { to.ReceiveChange("b", change) }
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				changed := registry.Server{ID: "i-00000000", Service: "engines", Slots: i}
				view = view.With([]registry.Change{{Server: changed}}, view.Revision+1)
				from.OfferView(view)
			}
			require.Equal(b, view.Revision, to.View().Revision)
		})
	}
}
