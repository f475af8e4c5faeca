package viewshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestViewOfALaterEra guards against a box that is held to the view of before the store came back by peers that have it: its
// revision is higher, and entries have changed in the time that the store has lost.
func TestViewOfALaterEra(t *testing.T) {
	clock := newClock()
	old, started := newBox(t, "old", clock), newBox(t, "started", clock)
	old.OfferView(viewAt(inEra(t, 4, 136)))
	<-old.views
	started.OfferView(viewAt(inEra(t, 5, 101)))
	<-started.views

	started.Receive(old.digest())
	require.Zero(t, started.fetching(), "a view of an earlier era is none to ask for")
	old.Receive(started.digest())
	require.Equal(t, viewAt(inEra(t, 5, 101)), <-old.views)
	started.ReceiveChange("old", changesOf(inEra(t, 4, 136), inEra(t, 4, 137))[inEra(t, 4, 136)])
	require.Equal(t, viewAt(inEra(t, 5, 101)), *started.View())

	// The store comes back a second time before its revisions have caught up.
	started.OfferView(viewAt(inEra(t, 6, 90)))
	<-started.views
	old.Receive(started.digest())
	require.Equal(t, viewAt(inEra(t, 6, 90)), <-old.views)
}

// TestRevisionGivenOutAgain guards against a change that is applied to another view than the one that it begins at: both
// have one number.
func TestRevisionGivenOutAgain(t *testing.T) {
	s := newShare()
	s.OfferView(viewAt(inEra(t, 4, 10)))
	s.ReceiveChange("b", changesOf(inEra(t, 5, 10), inEra(t, 5, 11))[inEra(t, 5, 10)])
	require.Equal(t, viewAt(inEra(t, 4, 10)), *s.View(), "it waits for the view that it begins at")
	s.OfferView(viewAt(inEra(t, 5, 10)))
	s.ReceiveChange("b", changesOf(inEra(t, 5, 10), inEra(t, 5, 11))[inEra(t, 5, 10)])
	require.Equal(t, viewAt(inEra(t, 5, 11)), *s.View())
}

// TestConfigVersionGivenOutAgain guards against boxes that answer differently as the operator has given a version's number to
// another document after a return of the store. An older version of a later era is not taken back to.
func TestConfigVersionGivenOutAgain(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	for _, box := range []*box{a, b} {
		box.OfferConfig(doc(7), 4)
		require.Equal(t, int64(7), <-box.tables)
		box.OfferConfig(doc(5), 5)
		require.Equal(t, int64(7), box.Table().Version(), "what was in force stays")
	}
	another := fmt.Appendf(nil, "%d another document", 7)
	a.OfferConfig(another, 5)
	require.Equal(t, int64(7), <-a.tables)
	b.Receive(a.digest())
	require.Equal(t, int64(7), <-b.tables)
	require.Equal(t, another, b.config.Load().doc)

	// The same document in a later era is no change, and both know it.
	a.OfferConfig(another, 6)
	require.Equal(t, int64(6), a.ConfigVersion().Era)
	require.Empty(t, a.tables)
	b.Receive(a.digest())
	require.Eventually(t, func() bool { return b.ConfigVersion().Era == 6 }, time.Minute, time.Millisecond)
	require.Empty(t, b.tables)
}
