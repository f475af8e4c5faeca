package viewshare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/docpatch"
)

// largeDoc returns a document of many routes that differs in one number between versions.
func largeDoc(version int64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d document", version)
	for i := range 1000 {
		fmt.Fprintf(&b, " %x", uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return []byte(b.String())
}

// ask requests the configuration as a peer that has a version.
func (b *box) ask(t *testing.T, have int64) *FetchReply {
	t.Helper()
	reply := &FetchReply{}
	require.NoError(t, service{share: b.Share}.Config(&FetchArgs{Have: have}, reply))
	return reply
}

// TestPatchSmall: a peer that has one of the last versions gets little more than the changes since,
// others get the whole document.
func TestPatchSmall(t *testing.T) {
	b := newBox(t, "box-a", newClock())
	for version := range int64(7) {
		b.OfferConfig(largeDoc(version+1), 0)
	}
	for have, base := range map[int64]int64{0: 0, 1: 0, 2: 0, 3: 3, 6: 6} {
		reply := b.ask(t, have)
		require.Equal(t, base, reply.Base, "have %d", have)
		require.EqualValues(t, 7, reply.Version)
		if base > 0 {
			require.Less(t, len(reply.Data), 100, "have %d", have)
		}
	}
	require.Empty(t, b.ask(t, 7).Data)
	require.Empty(t, b.ask(t, 8).Data)
}

// TestPatchOfAnother: a box whose document of the same version has other bytes asks for the whole
// one.
func TestPatchOfAnother(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "box-a", clock), newBox(t, "box-b", clock)
	a.OfferConfig(largeDoc(1), 0)
	a.OfferConfig(largeDoc(2), 0)
	b.OfferConfig([]byte("1 another"), 0)
	require.EqualValues(t, 1, <-b.tables)
	b.Receive(a.digest())
	require.EqualValues(t, 2, <-b.tables)
	require.Equal(t, string(largeDoc(2)), string(b.config.Load().doc))
	require.Equal(t, 1, b.log.count("asking for the whole configuration"))
}

// TestPatchOfOldest: a reply for a document that is replaced meanwhile is not reused for the next
// document.
func TestPatchOfOldest(t *testing.T) {
	b := newBox(t, "box-a", newClock())
	b.OfferConfig(largeDoc(1), 0)
	older := b.config.Load()
	b.OfferConfig(largeDoc(2), 0)
	_, _, err := b.patches.patch(older, 0)
	require.NoError(t, err)
	doc, err := b.patched(b.ask(t, 0))
	require.NoError(t, err)
	require.Equal(t, string(largeDoc(2)), string(doc))
}

// falsePeer announces version 3, and answers with a patch that does not fit and then with a whole
// document that is not newer than the held one.
type falsePeer struct{}

func (falsePeer) call(_ string, args, reply any) error {
	answer := reply.(*FetchReply)
	answer.Version = 3
	if args.(*FetchArgs).Have != 0 {
		answer.Base, answer.Data = 2, []byte("no patch")
		return nil
	}
	patch, err := docpatch.Encode(nil, doc(2))
	answer.Data = patch
	return err
}

func (falsePeer) lastRead() time.Time { return time.Time{} }

// TestWholeWithoutNews: a whole document that is not newer is a failure of the peer, which is then
// not asked again at once.
func TestWholeWithoutNews(t *testing.T) {
	b := newBox(t, "box-a", newClock())
	b.OfferConfig(doc(2), 0)
	err := b.fetch(&job{kind: configKind, from: &peerStatus{}, peer: falsePeer{}, want: position{number: 3}})
	require.ErrorIs(t, err, errNotNewer)
}
