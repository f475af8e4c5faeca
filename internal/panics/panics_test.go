package panics_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/telemetry"
)

// TestReport: a panic is logged with its place and counted by the work that it ended.
func TestReport(t *testing.T) {
	require.Nil(t, panics.Catch(func() {}))
	err := panics.Catch(indexOutOfRange)
	require.ErrorContains(t, err, "index out of range")

	var out bytes.Buffer
	metrics := telemetry.New()
	err.Report(slog.New(slog.NewJSONHandler(&out, nil)), metrics, panics.Attempt, slog.String("request", "q1"))

	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "ERROR", line["level"])
	require.Equal(t, "q1", line["request"])
	require.Equal(t, "attempt", line["work"])
	require.Contains(t, line["stack"], "indexOutOfRange")
	require.Contains(t, string(metrics.Text()), `dalebend_panics_total{work="attempt"} 1`)
}

// indexOutOfRange panics as a faulty decoder does.
func indexOutOfRange() {
	var numbers []int
	for i := range 2 {
		numbers = append(numbers, numbers[i])
	}
}
