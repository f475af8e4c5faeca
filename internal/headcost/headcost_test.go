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

// TestParsed: what was counted with a head without being of it is given back.
func TestParsed(t *testing.T) {
	b := headcost.New(headcost.Free)
	head := http.Header{}
	for n := range 100 {
		head.Add(fmt.Sprint("Field-", n), "value")
	}
	body := []byte(strings.Repeat("\n", 100))
	for range 2 {
		var m headcost.Meter
		require.True(t, b.Add(&m, body))
		b.Parsed(&m, http.Header{"A": {"b"}})
	}
	var m headcost.Meter
	b.Parsed(&m, head)
	require.True(t, b.Add(&m, body), "a head that was not counted stays uncounted")
}

// TestNoBudget: without a budget nothing is bounded.
func TestNoBudget(t *testing.T) {
	var m headcost.Meter
	for _, b := range []*headcost.Budget{nil, headcost.New(0)} {
		require.True(t, b.Add(&m, make([]byte, 1<<20)))
		b.Release(&m)
	}
}
