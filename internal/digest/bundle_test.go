package digest_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/storerev"
)

// filterFunc is a filter that decides on updates, notes and presence reports alike.
type filterFunc func(start, seq uint64) bool

func (f filterFunc) Update(start, seq uint64) bool   { return f(start, seq) }
func (f filterFunc) Note(start, seq uint64) bool     { return f(start, seq) }
func (f filterFunc) Presence(start, seq uint64) bool { return f(start, seq) }

// acceptAll accepts everything.
var acceptAll = filterFunc(func(uint64, uint64) bool { return true })

// sampleUpdate has each field set.
func sampleUpdate() *digest.Update {
	return &digest.Update{
		Key: digest.IncarnationKey("box-a", 7), Seq: 3, ConfigVersion: 8, ViewRevision: 9,
		StoreTried: true, StoreReachable: true, StoreAgeMs: 5, Leaving: true,
		Loads:    []digest.Load{{Server: "s-1", Streams: 2}, {Server: "s-2"}},
		Troubles: []digest.ServerFailure{{Server: "s-3", AgeMs: 1, Kind: 1}},
		Attempts: []digest.Attempts{{Service: "s", First: 4, Second: 1}},
		Forward:  true,
	}
}

// samplePresence has bits 3 and 11 of twelve set.
func samplePresence() *digest.Presence {
	roll := &digest.Presence{Key: 1 << 61, Seq: 4, IndexChecksum: 1 << 63, Bitmap: digest.NewBitmap(12)}
	roll.SetPresent(3)
	roll.SetPresent(11)
	return roll
}

func encodePresence(t require.TestingT, roll *digest.Presence) digest.Item {
	raw, err := digest.EncodePresence(roll)
	require.NoError(t, err)
	return digest.Item{Raw: raw}
}

func encodeUpdate(t require.TestingT, u *digest.Update) digest.Item {
	raw, err := digest.EncodeUpdate(u)
	require.NoError(t, err)
	return digest.Item{Raw: raw}
}

func sampleNote() *digest.Note {
	return &digest.Note{Key: 1 << 60, Seq: 2, Data: []byte("something new")}
}

func encodeNote(t require.TestingT, n *digest.Note) digest.Item {
	raw, err := digest.EncodeNote(n)
	require.NoError(t, err)
	return digest.Item{Raw: raw}
}

func encodeBundle(t require.TestingT, b *digest.Bundle) []byte {
	data, err := digest.EncodeBundle(b)
	require.NoError(t, err)
	return data
}

// TestBundleRoundTrip: a decoded bundle equals the original, and its items can be forwarded.
func TestBundleRoundTrip(t *testing.T) {
	whole, err := digest.Encode(sample())
	require.NoError(t, err)
	items := []digest.Item{
		{Raw: whole}, encodeUpdate(t, sampleUpdate()), encodeNote(t, sampleNote()), encodePresence(t, samplePresence()),
	}
	data := encodeBundle(t, &digest.Bundle{
		From: "box-b", Addr: "10.0.0.2:7200", Reach: digest.ReachFleet, Items: items, WantedDigests: []uint64{1, 1 << 63},
		WantedPresence: []uint64{7},
	})
	require.True(t, digest.IsBundle(data))
	require.False(t, digest.IsBundle(whole))
	b, err := digest.DecodeBundle(data, acceptAll)
	require.NoError(t, err)
	require.Equal(t, "box-b", b.From)
	require.Equal(t, "10.0.0.2:7200", b.Addr)
	require.Equal(t, digest.ReachFleet, b.Reach)
	require.Equal(t, []uint64{1, 1 << 63}, b.WantedDigests)
	require.Equal(t, []uint64{7}, b.WantedPresence)
	require.Len(t, b.Items, 4)
	require.Equal(t, sample(), b.Items[0].Digest)
	require.Equal(t, sampleUpdate(), b.Items[1].Update)
	require.Equal(t, sampleNote(), b.Items[2].Note)
	require.Equal(t, samplePresence(), b.Items[3].Presence)
	again := encodeBundle(t, b)
	require.Equal(t, data, again)
}

// TestNotFresh: an update that the filter rejects is skipped, and the items after it are read.
func TestNotFresh(t *testing.T) {
	old, fresh := sampleUpdate(), sampleUpdate()
	fresh.Seq = 4
	data := encodeBundle(t, &digest.Bundle{
		From: "b", Addr: "a", Items: []digest.Item{encodeUpdate(t, old), encodeUpdate(t, fresh)},
	})
	b, err := digest.DecodeBundle(data, filterFunc(func(start, seq uint64) bool { return start == old.Key && seq > old.Seq }))
	require.NoError(t, err)
	require.Len(t, b.Items, 1)
	require.Equal(t, fresh, b.Items[0].Update)
}

// TestBundleCutShort: each prefix of a bundle, and a bundle with a trailing byte, is rejected.
func TestBundleCutShort(t *testing.T) {
	data := encodeBundle(t, &digest.Bundle{
		From: "b", Addr: "a", WantedDigests: []uint64{5},
		Items: []digest.Item{encodeUpdate(t, sampleUpdate()), encodeNote(t, sampleNote()), encodePresence(t, samplePresence())},
	})
	for _, fresh := range []bool{true, false} {
		take := filterFunc(func(uint64, uint64) bool { return fresh })
		for n := range data {
			_, err := digest.DecodeBundle(data[:n], take)
			require.ErrorIs(t, err, digest.ErrMalformed, "%d bytes", n)
		}
		_, err := digest.DecodeBundle(append(data, 0), take)
		require.ErrorIs(t, err, digest.ErrMalformed)
	}
}

// TestBundleLimits: a bundle that is too large, has no sender or an unknown reach is rejected.
func TestBundleLimits(t *testing.T) {
	_, err := digest.EncodeBundle(&digest.Bundle{From: strings.Repeat("x", digest.MaxBytes), Addr: "a"})
	require.ErrorIs(t, err, digest.ErrTooLarge)
	_, err = digest.DecodeBundle(make([]byte, digest.MaxBytes+1), acceptAll)
	require.ErrorIs(t, err, digest.ErrTooLarge)
	for _, b := range []*digest.Bundle{{From: "b"}, {Addr: "a"}, {From: "b", Addr: "a", Reach: 3}} {
		_, err = digest.DecodeBundle(encodeBundle(t, b), acceptAll)
		require.ErrorIs(t, err, digest.ErrMalformed)
	}
}

// TestUpdateEras guards against versions of an update that lose or exchange their eras.
func TestUpdateEras(t *testing.T) {
	eras := rapid.SampledFrom([]int64{0, 1, 7, 8, 300, storerev.MaxEra})
	numbers := rapid.SampledFrom([]int64{0, 1, 70000, storerev.MaxNumber})
	revision := rapid.Custom(func(t *rapid.T) storerev.Revision {
		r, err := storerev.New(eras.Draw(t, "era"), numbers.Draw(t, "number"))
		require.NoError(t, err)
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		u := sampleUpdate()
		u.ConfigVersion, u.ConfigEra = numbers.Draw(t, "config"), eras.Draw(t, "config era")
		u.ViewRevision, u.CordonRevision = revision.Draw(t, "view"), revision.Draw(t, "cordons")
		u.StoreTried, u.Forward = rapid.Bool().Draw(t, "tried"), rapid.Bool().Draw(t, "forward")
		data := encodeBundle(t, &digest.Bundle{From: "b", Addr: "a", Items: []digest.Item{encodeUpdate(t, u), encodeUpdate(t, u)}})
		b, err := digest.DecodeBundle(data, acceptAll)
		require.NoError(t, err)
		require.Len(t, b.Items, 2)
		require.Equal(t, u, b.Items[1].Update)
		b, err = digest.DecodeBundle(data, filterFunc(func(uint64, uint64) bool { return false }))
		require.NoError(t, err)
		require.Empty(t, b.Items)
	})
}

// TestOverhead: the size of a bundle beyond its items stays within BundleOverhead.
func TestOverhead(t *testing.T) {
	item := encodeUpdate(t, sampleUpdate())
	data := encodeBundle(t, &digest.Bundle{
		From: strings.Repeat("n", 63), Addr: strings.Repeat("a", 63), Items: []digest.Item{item},
	})
	require.LessOrEqual(t, len(data)-len(item.Raw), digest.BundleOverhead)
	for era := range int64(8) {
		view, err := storerev.New(era, 70000)
		require.NoError(t, err)
		require.Less(t, len(encodeUpdate(t, &digest.Update{
			Key: 1 << 63, Seq: 5000, ConfigVersion: 40, ConfigEra: era, ViewRevision: view, StoreTried: true, StoreAgeMs: 900,
		}).Raw), 30)
	}
}

// TestDifference: applying the difference of two lists of loads to the first gives the second.
func TestDifference(t *testing.T) {
	loads := rapid.Custom(func(t *rapid.T) []digest.Load {
		var out []digest.Load
		for server := range 5 {
			if streams := rapid.Int32Range(0, 2).Draw(t, "streams"); streams > 0 {
				out = append(out, digest.Load{Server: string(rune('a' + server)), Streams: streams})
			}
		}
		return out
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := loads.Draw(t, "from"), loads.Draw(t, "to")
		d := &digest.Digest{Box: "b", Seq: 1, Loads: from}
		u := &digest.Update{Seq: 2, Loads: digest.Difference(from, to)}
		next := u.Apply(d)
		require.ElementsMatch(t, to, next.Loads)
		require.Equal(t, uint64(2), next.Seq)
		require.Equal(t, &digest.Digest{Box: "b", Seq: 1, Loads: from}, d, "the digest stays as it is")
	})
}

// TestApply: an update replaces the fields it carries and keeps the rest; empty attempts change
// nothing.
func TestApply(t *testing.T) {
	d := sample()
	u := sampleUpdate()
	next := u.Apply(d)
	require.Equal(t, d.Addr, next.Addr)
	require.Equal(t, u.ViewRevision, next.ViewRevision)
	require.Equal(t, u.Attempts, next.Attempts)
	require.Equal(t, u.Troubles, next.Troubles)
	require.False(t, next.Join)
	require.Empty(t, next.Members)
	u.Attempts = nil
	require.Equal(t, d.Attempts, u.Apply(d).Attempts)
}

// TestIncarnationKey: each incarnation of each box has a key of its own.
func TestIncarnationKey(t *testing.T) {
	keys := make(map[uint64]bool)
	for _, name := range []string{"box-1", "box-2", "box-11"} {
		for incarnation := range int64(100) {
			keys[digest.IncarnationKey(name, incarnation)] = true
		}
	}
	require.Len(t, keys, 300)
}

// FuzzDecodeBundle: no datagram crashes the decoder, and accepted items can be forwarded.
func FuzzDecodeBundle(f *testing.F) {
	f.Add(encodeBundle(f, &digest.Bundle{From: "b", Addr: "a", Items: []digest.Item{
		encodeUpdate(f, sampleUpdate()), encodeNote(f, sampleNote()),
	}}))
	f.Add([]byte{0x96, 64, 0xdd, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := digest.DecodeBundle(data, acceptAll)
		if err != nil {
			return
		}
		_, err = digest.EncodeBundle(b)
		require.NoError(t, err)
	})
}
