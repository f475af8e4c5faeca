package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
)

// relayTable returns the table of a box that has been there for long, with peers of two
// failure domains, and the present time.
func relayTable(t *testing.T) (*table, time.Time) {
	tab := newTable(Box{Name: "self", Domain: "a"}, 0)
	now := time.Unix(1000, 0)
	for i := range 40 {
		d := &digest.Digest{
			Box: fmt.Sprintf("box-%02d", i), Addr: fmt.Sprintf("10.0.0.%d:7200", i+1),
			Domain: []string{"a", "b"}[i%2], Incarnation: 1, Seq: 1, Strength: int32(i % 4),
		}
		_, what := tab.hear(d, now)
		require.Equal(t, newPeer, what)
	}
	tab.rankDomains()
	return tab, now.Add(time.Minute)
}

// TestRelays: strong boxes of the own failure domain are relays, always the same.
func TestRelays(t *testing.T) {
	tab, now := relayTable(t)
	first := tab.relays(now)
	require.Len(t, first, relaysPerDomain)
	for _, p := range first {
		require.Equal(t, "a", p.box.Domain)
		require.Equal(t, int32(2), p.strength, "those of the other domain have 1 and 3")
	}
	require.Equal(t, first, tab.relays(now))
}

// TestSilentRelay: one that gets something to pass on and is not heard is replaced, and taken
// again after a time.
func TestSilentRelay(t *testing.T) {
	tab, now := relayTable(t)
	first := tab.relays(now)
	heard := first[1]
	for range 3 {
		for _, p := range tab.relays(now) {
			p.relay.use(now)
		}
		heard.relay.direct = now
		now = now.Add(relayedRound)
	}
	next := tab.relays(now)
	require.Contains(t, next, heard)
	require.NotContains(t, next, first[0])
	require.Equal(t, first, tab.relays(now.Add(shunFor)))
}

// TestFreshRelay: a box that has just come is no relay while there are others.
func TestFreshRelay(t *testing.T) {
	tab, now := relayTable(t)
	strong := &digest.Digest{Box: "strong", Addr: "10.0.1.1:7200", Domain: "a", Incarnation: 1, Seq: 1, Strength: 9}
	p, _ := tab.hear(strong, now)
	tab.rankDomains()
	require.NotContains(t, tab.relays(now), p)
	require.Contains(t, tab.relays(now.Add(settleTime)), p)
}

// TestRelaysOf: relays of another failure domain are those at work there; while none is,
// some are tried by chance beside those that rank first.
func TestRelaysOf(t *testing.T) {
	tab, now := relayTable(t)
	r := rand.New(rand.NewPCG(1, 2))
	tried := make(map[*peer]bool)
	for range 200 {
		for _, p := range tab.relaysOf("b", now, r) {
			require.Equal(t, "b", p.box.Domain)
			tried[p] = true
		}
	}
	require.Len(t, tried, 20)
	// One at work is told, and the one that ranks first beside it.
	ranked := tab.domains["b"]
	weakest, weak := ranked[19], ranked[18]
	weakest.relay.passed = now
	require.Equal(t, []*peer{weakest, ranked[0]}, tab.relaysOf("b", now.Add(relaySilence), r))
	// Two are enough.
	weak.relay.passed = now
	require.Equal(t, []*peer{weak, weakest}, tab.relaysOf("b", now.Add(relaySilence), r))
	require.Len(t, tab.relaysOf("b", now.Add(relaySilence+time.Millisecond), r), 2*relaysPerDomain)
}

// TestTold: what changed is told twice, as it is then; a digest follows from time to time, and
// what one peer was shown in between is told to all.
func TestTold(t *testing.T) {
	now := time.Unix(1000, 0)
	told := &told{}
	load := func(server string, streams int32) digest.Load { return digest.Load{Server: server, Streams: streams} }
	next := func(loads ...digest.Load) *digest.Update {
		now = now.Add(100 * time.Millisecond)
		return told.next(&digest.Digest{Box: "b", Loads: loads}, 40, now)
	}
	require.Nil(t, next(load("x", 1)), "the first is a digest")
	require.Empty(t, next(load("x", 1)).Loads)
	require.Equal(t, []digest.Load{load("x", 2)}, next(load("x", 2)).Loads)
	require.Equal(t, []digest.Load{load("y", 1), load("x", 2)}, next(load("x", 2), load("y", 1)).Loads)
	require.Equal(t, []digest.Load{load("x", 0), load("y", 1)}, next(load("y", 1)).Loads)
	require.Equal(t, []digest.Load{load("x", 0)}, next(load("y", 1)).Loads)
	require.Empty(t, next(load("y", 1)).Loads)
	told.shown(&digest.Digest{Box: "b", Loads: []digest.Load{load("y", 5)}})
	require.Equal(t, []digest.Load{load("y", 1)}, next(load("y", 1)).Loads, "as it is now")
	now = now.Add(fullInterval)
	require.Nil(t, next(load("y", 1)))
}

// TestToldAttempts: further attempts are told at once and again, first ones seldom, and the more so
// the more boxes there are.
func TestToldAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	told := &told{}
	boxes := 40
	next := func(first, second int32) []digest.Attempts {
		now = now.Add(20 * time.Millisecond)
		d := &digest.Digest{Box: "b", Attempts: []digest.Attempts{{Service: "s", First: first, Second: second}}}
		u := told.next(d, boxes, now)
		if u == nil {
			return nil
		}
		return u.Attempts
	}
	next(1, 0)
	require.Empty(t, next(2, 0))
	require.Equal(t, int32(1), next(2, 1)[0].Second)
	require.Equal(t, int32(3), next(3, 1)[0].First)
	require.Empty(t, next(4, 1))
	now = now.Add(relayedRound)
	require.Equal(t, int32(9), next(9, 1)[0].First)
	boxes = 500
	now = now.Add(relayedRound)
	require.Empty(t, next(10, 1))
	now = now.Add(500 * countPerBox)
	require.Equal(t, int32(11), next(11, 1)[0].First)
}

// TestToldGrowth: a stream that only grows is told of now and then, as it is on average until the
// next time.
func TestToldGrowth(t *testing.T) {
	now := time.Unix(1000, 0)
	told := &told{}
	loads := []digest.Load{{Server: "x", Streams: 1, Tokens: 3000, Growth: 400}}
	told.next(&digest.Digest{Box: "b", Loads: loads}, 40, now)
	updates, off, least, most := 0, int32(0), int32(0), int32(0)
	for tokens := int32(3000); tokens <= 3400; tokens += 4 {
		now = now.Add(28 * time.Millisecond)
		d := &digest.Digest{Box: "b", Loads: []digest.Load{{Server: "x", Streams: 1, Tokens: tokens, Growth: 3400 - tokens}}}
		if u := told.next(d, 40, now); len(u.Loads) > 0 {
			updates++
		}
		ahead := told.last.Loads[0].Tokens - tokens
		off += ahead
		least, most = min(least, ahead), max(most, ahead)
		require.Equal(t, int32(3400), told.last.Loads[0].Tokens+told.last.Loads[0].Growth)
	}
	require.LessOrEqual(t, updates, 4, "each is told twice")
	require.LessOrEqual(t, most, int32(3400/steadyPart))
	require.GreaterOrEqual(t, least, -int32(3400/steadyPart))
	require.InDelta(t, 0, off/101, 3400/steadyPart/2)
}
