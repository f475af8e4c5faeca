package runerr_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/runerr"
)

// TestErrors: an error is found with its cause behind others, and never taken for
// the other kind.
func TestErrors(t *testing.T) {
	var notRun *runerr.NotRun
	var perhaps *runerr.PerhapsRun

	err := fmt.Errorf("attempt 2: %w", &runerr.NotRun{RetryAfter: time.Second, Cause: context.Canceled})
	require.EqualError(t, err, "attempt 2: not run: context canceled")
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, time.Second, notRun.RetryAfter)
	require.NotErrorAs(t, err, &perhaps)

	err = fmt.Errorf("attempt 2: %w", &runerr.PerhapsRun{Cause: context.Canceled})
	require.EqualError(t, err, "attempt 2: perhaps run: context canceled")
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorAs(t, err, &perhaps)
	require.NotErrorAs(t, err, &notRun)
}
