package viewshare

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
)

var errTest = errors.New("test")

// choices is a fetches with its own clock; no calls are made.
type choices struct {
	fetches
	clock     *clockwork.FakeClock
	requester requester
}

func newChoices() *choices { return &choices{clock: clockwork.NewFakeClock()} }

// receiveDigest records a digest with version 5 and revision 5.
func (c *choices) receiveDigest(box string) {
	c.update(&digest.Digest{Box: box, CallAddr: box, ConfigVersion: 5, ViewRevision: 5}, c.clock.Now())
}

func (c *choices) next(k kind, held position) *job {
	j, _ := c.begin(k, held, c.requester, c.clock)
	return j
}

// TestAtMostThree: at most three fetches run, however many peers announce something newer.
func TestAtMostThree(t *testing.T) {
	c := newChoices()
	for i := range 20 {
		c.receiveDigest(fmt.Sprint("box-", i))
	}
	var jobs []*job
	for range 10 {
		for k := range kinds {
			if j := c.next(k, position{number: 1}); j != nil {
				jobs = append(jobs, j)
			}
		}
		c.clock.Advance(hedgeAfter)
	}
	require.Len(t, jobs, maxFetches)
	c.end(jobs[0], nil, c.clock.Now())
	require.NotNil(t, c.next(configKind, position{number: 1}))
}

// TestOnePerPeer: a peer that is being asked is not asked for the same again.
func TestOnePerPeer(t *testing.T) {
	c := newChoices()
	c.receiveDigest("a")
	require.NotNil(t, c.next(configKind, position{number: 1}))
	c.clock.Advance(hedgeAfter)
	require.Nil(t, c.next(configKind, position{number: 1}))
	require.NotNil(t, c.next(viewKind, position{number: 1}))
}

// TestFailedPeer: after a failure another peer is asked, and the same one only after a delay.
func TestFailedPeer(t *testing.T) {
	c := newChoices()
	c.receiveDigest("a")
	c.clock.Advance(time.Millisecond)
	c.receiveDigest("b")
	j := c.next(configKind, position{number: 1})
	require.Equal(t, "b", j.from.name)
	c.end(j, errTest, c.clock.Now())
	j = c.next(configKind, position{number: 1})
	require.Equal(t, "a", j.from.name)
	c.end(j, errTest, c.clock.Now())
	require.Nil(t, c.next(configKind, position{number: 1}))
	c.clock.Advance(failedPeerDelay - 1)
	require.Nil(t, c.next(configKind, position{number: 1}))
	c.clock.Advance(1)
	require.Equal(t, "b", c.next(configKind, position{number: 1}).from.name)
}

// TestSilentTeller: a silent peer is not asked, and forgotten.
func TestSilentTeller(t *testing.T) {
	c := newChoices()
	c.receiveDigest("a")
	c.clock.Advance(digestMaxAge)
	require.Nil(t, c.next(configKind, position{number: 1}))
	require.Empty(t, c.peers)
}

// TestNothingNewer: equal and lower versions are not fetched.
func TestNothingNewer(t *testing.T) {
	c := newChoices()
	c.receiveDigest("a")
	require.Nil(t, c.next(configKind, position{number: 5}))
	require.Nil(t, c.next(viewKind, position{number: 6}))
}

// TestCallersKept: connections are bounded, and the least recently used one is closed.
func TestCallersKept(t *testing.T) {
	c := newChoices()
	for i := range 3 * maxCallers {
		box := fmt.Sprint("box-", i)
		c.receiveDigest(box)
		j := c.next(configKind, position{number: 1})
		require.Equal(t, box, j.from.name)
		c.end(j, nil, c.clock.Now())
		c.clock.Advance(time.Millisecond)
	}
	require.Len(t, c.callers, maxCallers)
	require.Contains(t, c.callers, fmt.Sprint("box-", 2*maxCallers))
}

// TestOwnDomainFirst: a peer of the own failure domain is preferred, however late its digest
// arrives; others are asked only after domainGrace without one.
func TestOwnDomainFirst(t *testing.T) {
	c := newChoices()
	c.requester = requester{domain: "here", grace: 60 * time.Millisecond}
	receiveDigest := func(box, domain string) {
		d := &digest.Digest{Box: box, CallAddr: box, Domain: domain, ConfigVersion: 5, ViewRevision: 5}
		c.update(d, c.clock.Now())
	}
	receiveDigest("far", "there")
	_, wait := c.begin(viewKind, position{number: 1}, c.requester, c.clock)
	require.Equal(t, domainGrace, wait)
	for range 100 {
		_, wait = c.begin(viewKind, position{number: 1}, c.requester, c.clock)
		require.Zero(t, wait, "one look is enough")
	}
	c.clock.Advance(100 * time.Millisecond)
	receiveDigest("near", "here")
	receiveDigest("far", "there")
	require.Equal(t, "near", c.next(viewKind, position{number: 1}).from.name)

	receiveDigest("far", "there")
	require.Nil(t, c.next(configKind, position{number: 4}), "its grace begins")
	c.clock.Advance(domainGrace)
	receiveDigest("far", "there")
	require.Equal(t, "near", c.next(configKind, position{number: 4}).from.name)
	c.clock.Advance(hedgeAfter)
	require.Equal(t, "far", c.next(configKind, position{number: 4}).from.name)
}
