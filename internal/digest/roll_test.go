package digest_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
)

// TestPresent: a roll has the places that were set, and none beyond its own.
func TestPresent(t *testing.T) {
	roll := sampleRoll()
	for place := range 40 {
		require.Equal(t, place == 3 || place == 11, roll.IsPresent(place), "place %d", place)
	}
}

// TestNamedRollIsFresh: a roll that names starts answers a question and is read whatever was seen
// before; one of places is not.
func TestNamedRollIsFresh(t *testing.T) {
	named := &digest.Roll{Start: 5, Seq: 1, Starts: []uint64{1, 1 << 63}}
	data := encodeBundle(t, &digest.Bundle{
		From: "b", Addr: "a", Items: []digest.Item{encodeRoll(t, named), encodeRoll(t, sampleRoll())},
	})
	b, err := digest.DecodeBundle(data, freshFunc(func(uint64, uint64) bool { return false }))
	require.NoError(t, err)
	require.Len(t, b.Items, 1)
	require.Equal(t, named, b.Items[0].Roll)
}
