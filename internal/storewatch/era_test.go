package storewatch

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

func inEra(t require.TestingT, era, number int64) storerev.Revision {
	r, err := storerev.New(era, number)
	require.NoError(t, err)
	return r
}

// TestLowerNumbersOfALaterEra guards against a store that is refused, for as long as its revisions are lower than the ones that
// the box holds, after it has come back from an older copy.
func TestLowerNumbersOfALaterEra(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 4, 134)})
	require.Equal(t, "v1", <-r.docs)
	(<-r.servers).answer(reply{view: view(inEra(t, 4, 136), "a")})
	<-r.views
	config, servers := <-r.watchConfig, <-r.watchServers
	config.answer(reply{err: ErrHistoryGone})
	(<-r.config).answer(reply{doc: []byte("v0"), at: inEra(t, 5, 101)})
	require.Equal(t, "v0", <-r.docs)
	servers.answer(reply{err: ErrHistoryGone})
	(<-r.servers).answer(reply{view: view(inEra(t, 5, 101), "a")})
	require.Equal(t, view(inEra(t, 5, 101), "a"), <-r.views)

	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 2))
	r.clock.Advance(minCycle)
	servers = <-r.watchServers
	require.Equal(t, inEra(t, 5, 101), servers.from)
	servers.answer(reply{changes: []registry.Change{added("b")}, at: inEra(t, 5, 102)})
	require.Equal(t, view(inEra(t, 5, 102), "a", "b"), <-r.views)
	config = <-r.watchConfig
	require.Equal(t, inEra(t, 5, 101), config.from)
	require.True(t, r.watcher.Status().Reachable)
	require.NotContains(t, r.log.String(), "store-lost")
}

// TestDocumentOfALaterEra: a document that is the same as before is delivered once more, with the era in which it was read.
func TestDocumentOfALaterEra(t *testing.T) {
	eras := make(chan int64, buffered)
	r := newRigWith(t, true, func(w *Watcher) { w.OnConfig = func(_ []byte, era int64) { eras <- era } })
	defer r.stop()
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 4, 134)})
	require.Equal(t, int64(4), <-eras)
	(<-r.servers).answer(reply{view: view(inEra(t, 4, 136), "a")})
	(<-r.watchConfig).answer(reply{err: ErrHistoryGone})
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 5, 101)})
	require.Equal(t, int64(5), <-eras)
}

// TestAnswerOfAnEarlierEra guards against an answer that was made before the store came back and is taken after one of the new
// era, and against a contact that counts although its answer was refused.
func TestAnswerOfAnEarlierEra(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 5, 101)})
	(<-r.servers).answer(reply{view: view(inEra(t, 5, 101), "a")})
	<-r.views
	<-r.watchConfig
	servers := <-r.watchServers
	contact := r.watcher.Status().LastContact
	servers.answer(reply{err: ErrHistoryGone})
	(<-r.servers).answer(reply{view: view(inEra(t, 4, 136), "b")})
	r.awaitPause()
	require.Empty(t, r.views)
	require.Equal(t, contact, r.watcher.Status().LastContact)
	require.False(t, r.watcher.Status().Reachable)
	require.Contains(t, r.log.String(), "4/136 after revision 5/101")
}

// TestViewOfALaterEraFromAPeer: a watch goes on from what another box has read of a later era, whatever its number.
func TestViewOfALaterEraFromAPeer(t *testing.T) {
	newest := view(inEra(t, 4, 136), "a")
	r := newRigWith(t, true, func(w *Watcher) { w.NewestView = func() *registry.View { return &newest } })
	defer r.stop()
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 4, 136)})
	(<-r.servers).answer(reply{view: newest})
	<-r.views
	servers := <-r.watchServers
	require.Equal(t, inEra(t, 4, 136), servers.from)
	newest = view(inEra(t, 5, 101), "b")
	servers.answer(reply{err: errors.New("no answer")})
	r.awaitPause()
	r.clock.Advance(time.Second)
	(<-r.config).answer(reply{doc: []byte("v1"), at: inEra(t, 5, 102)})
	(<-r.servers).answer(reply{view: view(inEra(t, 5, 102), "b", "c")})
	require.Equal(t, view(inEra(t, 5, 102), "b", "c"), <-r.views)
}
