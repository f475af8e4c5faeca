package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/freshness"
	"github.com/dalebend/dalebend/internal/storerev"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// TestReportCountsOnceItsVersionsAreHeld: what another box knows is not known here before its versions are.
func TestReportCountsOnceItsVersionsAreHeld(t *testing.T) {
	var f freshness.Tracker
	require.True(t, f.Confirmed().IsZero())
	f.RecordHeld(freshness.Versions{Config: 3, View: 10})
	f.RecordReport(at(100), freshness.Versions{Config: 3, View: 10})
	require.Equal(t, at(100), f.Confirmed())
	f.RecordReport(at(300), freshness.Versions{Config: 3, View: 12})
	f.RecordReport(at(200), freshness.Versions{Config: 3, View: 11})
	f.RecordReport(at(400), freshness.Versions{Config: 4, View: 12})
	f.RecordReport(at(500), freshness.Versions{Config: 4, View: 12, Cordons: 1})
	require.Equal(t, at(100), f.Confirmed(), "none of these versions is held")
	f.RecordHeld(freshness.Versions{Config: 3, View: 11})
	require.Equal(t, at(200), f.Confirmed())
	f.RecordHeld(freshness.Versions{Config: 3, View: 14})
	require.Equal(t, at(300), f.Confirmed())
	f.RecordHeld(freshness.Versions{Config: 4, View: 14, Cordons: 1})
	require.Equal(t, at(500), f.Confirmed())
	f.RecordReport(at(450), freshness.Versions{})
	require.Equal(t, at(500), f.Confirmed(), "never earlier than before")
}

// TestPendingReportsAreBounded: of many reports that wait the latest are kept.
func TestPendingReportsAreBounded(t *testing.T) {
	var f freshness.Tracker
	for n := range 1000 {
		f.RecordReport(at(n+1), freshness.Versions{View: storerev.Revision(n + 1)})
	}
	f.RecordHeld(freshness.Versions{View: 100})
	require.True(t, f.Confirmed().IsZero())
	f.RecordHeld(freshness.Versions{View: 995})
	require.Equal(t, at(995), f.Confirmed())
}

// TestReportsThatWaitedInAPauseDontCount: reports that are read after a pause seem to be new, and are not. What this box
// finds out itself is.
func TestReportsThatWaitedInAPauseDontCount(t *testing.T) {
	var f freshness.Tracker
	f.RecordHeld(freshness.Versions{View: 10})
	f.RecordReport(at(100), freshness.Versions{View: 10})
	f.RecordReport(at(200), freshness.Versions{View: 11})
	f.RecordPause(at(5000))
	f.RecordReport(at(5100), freshness.Versions{View: 10})
	f.RecordReport(at(5999), freshness.Versions{View: 11})
	f.RecordHeld(freshness.Versions{View: 11})
	require.Equal(t, at(100), f.Confirmed())
	f.RecordReport(at(6000), freshness.Versions{View: 11})
	require.Equal(t, at(6000), f.Confirmed())
	f.RecordPause(at(9000))
	f.RecordOwn(at(9010))
	require.Equal(t, at(9010), f.Confirmed())
}
