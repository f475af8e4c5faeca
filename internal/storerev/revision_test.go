package storerev_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dalebend/dalebend/internal/rapidseed"
	"github.com/dalebend/dalebend/internal/storerev"
)

// TestOrder guards against revisions that compare by their numbers across a return of the store.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (era, number int64) {
			return rapid.Int64Range(0, storerev.MaxEra).Draw(t, "era"), rapid.Int64Range(0, storerev.MaxNumber).Draw(t, "number")
		}
		eraA, numberA := draw()
		eraB, numberB := draw()
		a, err := storerev.New(eraA, numberA)
		require.NoError(t, err)
		b, err := storerev.New(eraB, numberB)
		require.NoError(t, err)
		require.Equal(t, eraA, a.Era())
		require.Equal(t, numberA, a.Number())
		require.Equal(t, eraA < eraB || eraA == eraB && numberA < numberB, a < b)
		require.Equal(t, eraA < eraB, a.EarlierEra(b))
	})
}

// TestOutOfRange: figures of another party are bounded before they are joined.
func TestOutOfRange(t *testing.T) {
	for _, c := range [][2]int64{{-1, 0}, {0, -1}, {storerev.MaxEra + 1, 0}, {0, storerev.MaxNumber + 1}} {
		_, err := storerev.New(c[0], c[1])
		require.ErrorIs(t, err, storerev.ErrOutOfRange)
	}
}

// TestConfigVersion: the operator's number decides, then the era.
func TestConfigVersion(t *testing.T) {
	for _, c := range []struct {
		a, b  storerev.ConfigVersion
		newer bool
	}{
		{storerev.ConfigVersion{Number: 9, Era: 4}, storerev.ConfigVersion{Number: 6, Era: 5}, true},
		{storerev.ConfigVersion{Number: 6, Era: 5}, storerev.ConfigVersion{Number: 9, Era: 4}, false},
		{storerev.ConfigVersion{Number: 9, Era: 5}, storerev.ConfigVersion{Number: 9, Era: 4}, true},
		{storerev.ConfigVersion{Number: 9, Era: 5}, storerev.ConfigVersion{Number: 9, Era: 5}, false},
	} {
		require.Equal(t, c.newer, c.a.Newer(c.b), "%+v %+v", c.a, c.b)
	}
}
