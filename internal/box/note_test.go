package box

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/retrypriority"
)

// TestNoteOfARefusal checks that a caller refused by another box is known here.
func TestNoteOfARefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := &Box{retryPriority: &retrypriority.Tracker{Clock: clock}}
	notes := make(chan []byte, 1)
	peer := &retrypriority.Tracker{Clock: clock, Broadcast: func(note []byte) { notes <- note }}
	peer.RecordRefusal(7, "kiosk", time.Second)
	clock.Advance(time.Second)
	b.receiveNote("peer", <-notes)
	require.True(t, b.retryPriority.Claim(7))
}

// TestNoteOfAShare checks that an account's usage by way of another box counts here.
func TestNoteOfAShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := &Box{accountShares: &accountshare.Tracker{Clock: clock}}
	b.accountShares.RecordTokens("small", 1000)
	notes := make(chan []byte, 1)
	peer := &accountshare.Tracker{Clock: clock, Broadcast: func(note []byte) { notes <- note }}
	peer.RecordTokens("large", 10_000)
	clock.Advance(time.Second)
	b.receiveNote("peer", <-notes)
	b.accountShares.RecordRefusal("small")
	require.True(t, b.accountShares.OverShare("large"))
}
