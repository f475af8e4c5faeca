package digest_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dalebend/dalebend/internal/digest"
)

// sample has each field set.
func sample() *digest.Digest {
	return &digest.Digest{
		Box: "box-a", Addr: "10.0.0.1:7200", CallAddr: "10.0.0.1:7201", Domain: "hall-1",
		Incarnation: math.MaxInt64, Seq: math.MaxUint64, IntervalMs: 400, Join: true,
		ConfigVersion: 7, ViewRevision: 1 << 40, StoreTried: true, StoreReachable: true,
		StoreAgeMs: -1, Leaving: true, CordonRevision: 9, Cordoned: []string{"hall-2"},
		Loads:    []digest.Load{{Server: "s-1", Streams: 1, Tokens: 2, Growth: 3, Prefill: 4, Copies: math.MaxInt32, Bare: 5, Arriving: 6}},
		Troubles: []digest.ServerFailure{{Server: "s-2", AgeMs: 5, Kind: 255}},
		Attempts: []digest.Attempts{{Service: "s", First: 9, Second: 1}},
		Members:  []digest.Member{{Name: "box-b", Addr: "a", CallAddr: "b", Domain: "c"}},
	}
}

// TestRoundTrip: any digest that fits equals the original after decoding.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.Make[digest.Digest]().Draw(t, "digest")
		d.Box, d.Addr = "b"+d.Box, "a"+d.Addr
		data, err := digest.Encode(&d)
		if err != nil {
			require.ErrorIs(t, err, digest.ErrTooLarge)
			return
		}
		got, err := digest.Decode(data)
		if d.ViewRevision < 0 || d.CordonRevision < 0 {
			require.ErrorIs(t, err, digest.ErrMalformed)
			return
		}
		require.NoError(t, err)
		// An empty list is decoded as nil.
		if len(d.Cordoned) == 0 {
			d.Cordoned = nil
		}
		if len(d.Loads) == 0 {
			d.Loads = nil
		}
		if len(d.Troubles) == 0 {
			d.Troubles = nil
		}
		if len(d.Attempts) == 0 {
			d.Attempts = nil
		}
		if len(d.Members) == 0 {
			d.Members = nil
		}
		require.Equal(t, &d, got)
	})
}

// TestCompact: field names are not encoded.
func TestCompact(t *testing.T) {
	data, err := digest.Encode(sample())
	require.NoError(t, err)
	require.NotContains(t, string(data), "Incarnation")
	require.Less(t, len(data), 150)
}

// TestCutShort: each prefix of a datagram, and one with a trailing byte, is rejected.
func TestCutShort(t *testing.T) {
	data, err := digest.Encode(sample())
	require.NoError(t, err)
	for n := range data {
		_, err := digest.Decode(data[:n])
		require.ErrorIs(t, err, digest.ErrMalformed, "%d bytes", n)
	}
	_, err = digest.Decode(append(data, 0))
	require.ErrorIs(t, err, digest.ErrMalformed)
}

// TestTooLarge: neither encoder nor decoder exceeds the limit.
func TestTooLarge(t *testing.T) {
	d := sample()
	d.Domain = strings.Repeat("x", digest.MaxBytes)
	_, err := digest.Encode(d)
	require.ErrorIs(t, err, digest.ErrTooLarge)
	_, err = digest.Decode(make([]byte, digest.MaxBytes+1))
	require.ErrorIs(t, err, digest.ErrTooLarge)
}

// TestNoSender: a digest without a sender is rejected.
func TestNoSender(t *testing.T) {
	for _, d := range []*digest.Digest{{Box: "b"}, {Addr: "a"}} {
		data, err := digest.Encode(d)
		require.NoError(t, err)
		_, err = digest.Decode(data)
		require.ErrorIs(t, err, digest.ErrMalformed)
	}
}

// TestLongArray: the stated length of an array does not decide how much memory it
// gets: a list of this length would not fit into any machine.
func TestLongArray(t *testing.T) {
	d := sample()
	d.Loads, d.Troubles, d.Members = nil, nil, nil
	data, err := digest.Encode(d)
	require.NoError(t, err)
	// The last byte is the length of Members; 0xdd begins an array with a 32 bit length.
	data = append(data[:len(data)-1], 0xdd, 0xff, 0xff, 0xff, 0xff)
	_, err = digest.Decode(data)
	require.ErrorIs(t, err, digest.ErrMalformed)
}

// FuzzDecode: no datagram crashes the decoder, and an accepted digest can be encoded.
func FuzzDecode(f *testing.F) {
	data, err := digest.Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xdc, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := digest.Decode(data)
		if err != nil {
			return
		}
		again, err := digest.Encode(d)
		if err != nil {
			require.ErrorIs(t, err, digest.ErrTooLarge)
			return
		}
		back, err := digest.Decode(again)
		require.NoError(t, err)
		require.Equal(t, d, back)
	})
}

func BenchmarkRoundTrip(b *testing.B) {
	d := sample()
	for len(d.Loads) < 12 {
		d.Loads = append(d.Loads, d.Loads[0])
	}
	for b.Loop() {
		data, err := digest.Encode(d)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := digest.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
