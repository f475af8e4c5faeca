package run_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/run"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == hostileArg || os.Args[1] == staleArg) {
		fmt.Fprintln(os.Stderr, runHostile(os.Args[1] == staleArg))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestAHostileBoxIsFound: boxes that break promises are found by the checkers that
// carry no bound on time, whatever else happens with the seed.
func TestAHostileBoxIsFound(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	b := bounds.Default()
	b.Recovery = time.Second
	r := &run.Run{
		Seed: 1, Duration: 3 * time.Second, Boxes: 2, Servers: 4, Callers: 8, Program: program, Args: []string{hostileArg},
		Dir: t.TempDir(), Bounds: b, Clock: clockwork.NewRealClock(), Logger: logging.Discard(),
	}
	result, err := r.Do(t.Context())
	require.NoError(t, err)
	found := make(map[string]int)
	for _, v := range result.Violations {
		found[v.Promise]++
	}
	t.Log(found)
	for _, promise := range []string{
		"whole answers", "order of streams", "at most once", "not run", "what is asked runs", "processes run on", "retry budget",
	} {
		require.NotZero(t, found[promise], promise)
	}
}

// TestLateSendsAreFound: requests that boxes in touch send to servers that have left are found.
func TestLateSendsAreFound(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	b := bounds.Default()
	b.Recovery = time.Second
	b.Contact = 200 * time.Millisecond
	r := &run.Run{
		Seed: 6, Duration: 3 * time.Second, Boxes: 2, Servers: 4, Callers: 8, Program: program, Args: []string{staleArg},
		Dir: t.TempDir(), Bounds: b, Clock: clockwork.NewRealClock(), Logger: logging.Discard(),
	}
	result, err := r.Do(t.Context())
	require.NoError(t, err)
	late := 0
	for _, v := range result.Violations {
		if v.Promise == "draining" {
			late++
		}
	}
	t.Log(late, "late of", len(result.History.Arrivals), "arrivals")
	require.NotZero(t, late)
}
