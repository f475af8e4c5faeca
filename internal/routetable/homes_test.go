package routetable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/routetable"
)

// TestHomes: without homes all regions are allowed; those of a route and of an account both
// bind, also if no region is left.
func TestHomes(t *testing.T) {
	none := routetable.NewHomes(nil)
	east := routetable.NewHomes([]string{"east"})
	both := routetable.NewHomes([]string{"east", "west"})
	west := routetable.NewHomes([]string{"west"})
	for _, c := range []struct {
		name       string
		homes      routetable.Homes
		east, west bool
	}{
		{"none", none, true, true},
		{"none and none", none.And(none), true, true},
		{"one", east, true, false},
		{"one and none", east.And(none), true, false},
		{"none and one", none.And(east), true, false},
		{"two and one", both.And(west), false, true},
		{"nothing in common", east.And(west), false, false},
	} {
		require.Equal(t, c.east, c.homes.Allow("east"), c.name)
		require.Equal(t, c.west, c.homes.Allow("west"), c.name)
	}
	require.False(t, east.Allow(""), "the region of a server is not known")
}
