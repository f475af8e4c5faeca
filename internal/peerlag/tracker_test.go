package peerlag_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/peerlag"
	"github.com/dalebend/dalebend/internal/storerev"
)

// TestPeerThatStaysBehindIsLogged: a peer is logged once when it lacks a change for the bound, and once when it has it.
func TestPeerThatStaysBehindIsLogged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var log bytes.Buffer
	tracker := &peerlag.Tracker{Clock: clock, Logger: slog.New(slog.NewTextHandler(&log, nil))}
	lines := func() int { return strings.Count(log.String(), "\n") }
	tracker.RecordPeer("b", 3)
	tracker.RecordOwn(5)
	clock.Advance(1900 * time.Millisecond)
	tracker.RecordOwn(8)
	tracker.RecordPeer("b", 3)
	require.Zero(t, lines(), "not for long enough")
	clock.Advance(200 * time.Millisecond)
	tracker.RecordPeer("b", 5)
	require.Zero(t, lines(), "it lacks the last change only")
	tracker.RecordPeer("b", 4)
	tracker.RecordPeer("b", 4)
	require.Equal(t, 1, lines())
	require.Contains(t, log.String(), "level=WARN msg=peer-behind peer=b behind_ms=2100 revision=4")
	clock.Advance(time.Second)
	tracker.RecordPeer("b", 9)
	tracker.RecordPeer("b", 9)
	require.Equal(t, 2, lines())
	require.Contains(t, log.String(), "level=INFO msg=peer-caught-up peer=b behind_ms=3100 revision=9")
	for n := range storerev.Revision(100) {
		tracker.RecordOwn(10 + n)
	}
	tracker.RecordPeer("b", 9)
	clock.Advance(2 * time.Second)
	tracker.RecordPeer("b", 9)
	require.Equal(t, 3, lines(), "by the oldest revision that is kept")
	tracker.Forget("b")
	tracker.RecordPeer("b", 109)
	require.Equal(t, 3, lines())
}
