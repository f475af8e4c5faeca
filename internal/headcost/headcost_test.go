package headcost_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/headcost"
)

// TestCommonHeadsAreFree: a head of a few hundred bytes takes nothing of a budget.
func TestCommonHeadsAreFree(t *testing.T) {
	b := headcost.New(1)
	head := []byte("GET / HTTP/1.1\r\n" + strings.Repeat("A-Common-Name: and a value of it\r\n", 20))
	require.Less(t, headcost.Of(head), int64(headcost.Free))
	for range 1000 {
		require.True(t, b.Add(new(headcost.Meter), head))
	}
}

// TestBudget: heads are counted by their fields, together and piece by piece, until they are released.
func TestBudget(t *testing.T) {
	tiny := []byte(strings.Repeat("a:\r\n", 1000))
	require.Greater(t, headcost.Of(tiny), int64(30*len(tiny)), "a tiny field takes more than its bytes")
	b := headcost.New(2 * headcost.Of(tiny))
	var first, second, third headcost.Meter
	require.True(t, b.Add(&first, tiny))
	require.True(t, b.Add(&second, tiny))
	require.False(t, b.Add(&third, tiny))
	b.Release(&third)
	b.Release(&first)
	require.True(t, b.Add(&third, tiny))
	require.False(t, b.Add(&third, tiny), "a later piece")
}

// TestBodiesAreNotCounted: what follows a head in a piece is no part of it.
func TestBodiesAreNotCounted(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	require.Less(t, headcost.Of([]byte(head+strings.Repeat("\n", 1000))), int64(1000))
}

// TestParsed: the cost of a parsed head replaces that of its pieces.
func TestParsed(t *testing.T) {
	head := http.Header{}
	for n := range 1000 {
		head.Add(fmt.Sprint("Field-", n), "value")
	}
	b := headcost.New(headcost.OfHeader(head))
	tiny := []byte(strings.Repeat("a:\r\n", 900))
	var first, second headcost.Meter
	require.True(t, b.Add(&first, tiny))
	require.False(t, b.Parsed(&second, head), "it was not in the pieces")
	b.Release(&second)
	require.True(t, b.Parsed(&first, http.Header{"A": {"b"}}))
	require.True(t, b.Add(&second, tiny))
}

// TestNoBudget: without a budget nothing is bounded.
func TestNoBudget(t *testing.T) {
	var m headcost.Meter
	for _, b := range []*headcost.Budget{nil, headcost.New(0)} {
		require.True(t, b.Add(&m, make([]byte, 1<<20)))
		b.Release(&m)
	}
}
