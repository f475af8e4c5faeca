package viewshare

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

func newShare() *Share {
	return &Share{Decode: decodeDoc, Clock: newClock(), Logger: slog.New(slog.DiscardHandler)}
}

// TestUpdateBase: an update has only the changes when a step begins at the asker's
// revision, and is the whole view otherwise.
func TestUpdateBase(t *testing.T) {
	s := newShare()
	for _, revision := range []int64{10, 12, 14} {
		s.OfferView(viewAt(revision))
	}
	for since, base := range map[int64]int64{0: 0, 9: 0, 10: 10, 11: 0, 12: 12, 13: 0} {
		data, revision, err := s.encodedView(since)
		require.NoError(t, err)
		require.Equal(t, int64(14), revision)
		u, err := decode(data)
		require.NoError(t, err)
		require.Equal(t, base, u.Base, "since %d", since)
	}
	data, _, err := s.encodedView(14)
	require.NoError(t, err)
	require.Empty(t, data)
}

// TestEncodedOnce: peers that ask for the same update share its bytes until the view
// changes.
func TestEncodedOnce(t *testing.T) {
	s := newShare()
	s.OfferView(viewAt(3))
	s.OfferView(viewAt(4))
	for _, since := range []int64{0, 3} {
		first, _, err := s.encodedView(since)
		require.NoError(t, err)
		second, _, err := s.encodedView(since)
		require.NoError(t, err)
		require.Same(t, &first[0], &second[0])
	}
	s.OfferView(viewAt(5))
	_, revision, err := s.encodedView(3)
	require.NoError(t, err)
	require.Equal(t, int64(5), revision)
}

// TestApplyElsewhere: changes are applied only to the view that they begin at.
func TestApplyElsewhere(t *testing.T) {
	to, other := viewAt(5), viewAt(3)
	sum, err := checksum(&to)
	require.NoError(t, err)
	u := &update{Base: 4, Revision: 5, Changes: difference(&other, &to), Checksum: sum}
	_, err = u.apply(&other)
	require.ErrorIs(t, err, errMismatch)
	_, err = u.apply(nil)
	require.ErrorIs(t, err, errMismatch)
}
