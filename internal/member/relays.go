package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// directPeers is the largest number of live peers to which a box sends each change directly.
	// That many datagrams cost about a quarter of a millisecond; in a larger fleet their number
	// grows with its square, and changes go through relays.
	directPeers = 24
	// relaysPerDomain is the number of relays that a box uses in a failure domain. With two,
	// neither a lost datagram nor a lost box delays a change.
	relaysPerDomain = 2
	// maxActiveRelays bounds the relays of another failure domain that get a box's bundles. While
	// boxes disagree on which are the relays, more than two are active.
	maxActiveRelays = 4
	// relaySilence is the longest time between two datagrams from an active relay: two of its
	// heartbeats. It is replaced before any box is declared lost.
	relaySilence = 2*relayedRound + 100*time.Millisecond
	// settleTime is how long a box that joined is not used as a relay if there are others: it takes
	// some two seconds to discover all boxes.
	settleTime = 3 * time.Second
	// relayBackoff is how long a relay that fell silent is not used again.
	relayBackoff = 5 * time.Second
)

// relayUse is the state of a peer as a relay.
type relayUse struct {
	// used is when the peer was last sent an item to forward, and since is when that began. Silence
	// counts from then.
	used, since time.Time
	// lastDirect is when the last datagram from the peer itself arrived.
	lastDirect time.Time
	// lastForwarded is when the peer last forwarded items of its failure domain.
	lastForwarded time.Time
	// backoffUntil is when a relay that fell silent may be used again.
	backoffUntil time.Time
}

// markUsed records that the peer is sent an item to forward.
func (u *relayUse) markUsed(now time.Time) {
	if now.Sub(u.used) > relaySilence {
		u.since = now
	}
	u.used = now
}

// checkSilence backs off from a relay that is in use and silent.
func (u *relayUse) checkSilence(now time.Time) {
	if now.Sub(u.used) > relaySilence {
		return
	}
	last := u.since
	if u.lastDirect.After(last) {
		last = u.lastDirect
	}
	if now.Sub(last) > relaySilence {
		u.backoffUntil = now.Add(relayBackoff)
		u.used = time.Time{}
	}
}

// relayed reports whether changes go through relays.
func (t *table) relayed() bool { return len(t.order) > directPeers }

// fitness orders relays before their rank does.
type fitness uint8

const (
	// fit is a box that has been running for settleTime.
	fit fitness = iota
	// fresh is a box that may not know all others yet.
	fresh
	// silent is a relay that stopped sending.
	silent
	fitnesses
)

func (p *peer) fitness(now time.Time) fitness {
	switch {
	case now.Before(p.relay.backoffUntil):
		return silent
	case now.Sub(p.joinedAt) < settleTime:
		return fresh
	default:
		return fit
	}
}

// relays returns the relays of this failure domain that forward this box's reports, which may
// include the box itself.
func (t *table) relays(now time.Time) []*peer {
	ranked := t.domains[t.self.box.Domain]
	for _, p := range ranked {
		p.relay.checkSilence(now)
	}
	return fittest(ranked, relaysPerDomain, now)
}

// fittest returns up to count peers, by fitness and then by rank.
func fittest(ranked []*peer, count int, now time.Time) []*peer {
	out := make([]*peer, 0, count)
	for f := range fitnesses {
		for _, p := range ranked {
			if len(out) < count && p.fitness(now) == f {
				out = append(out, p)
			}
		}
	}
	return out
}

// relaysOf returns the relays of another failure domain that get this box's bundles: the active
// ones. While there are too few, the fittest other boxes are added, which makes them relays; while
// there is none, some random ones as well, as those that rank first may have just died.
func (t *table) relaysOf(domain string, now time.Time, rand *rand.Rand) []*peer {
	var chosen, others []*peer
	for _, p := range t.domains[domain] {
		if now.Sub(p.relay.lastForwarded) <= relaySilence {
			chosen = append(chosen, p)
		} else {
			others = append(others, p)
		}
	}
	if len(chosen) >= relaysPerDomain {
		return chosen[:min(len(chosen), maxActiveRelays)]
	}
	none := len(chosen) == 0
	chosen = append(chosen, fittest(others, relaysPerDomain-len(chosen), now)...)
	if none {
		for range relaysPerDomain {
			chosen = append(chosen, others[rand.IntN(len(others))])
		}
	}
	return chosen
}

// rankDomains ranks the live boxes of each failure domain as relays: strong ones first, since a
// relay sends every change to all boxes of its failure domain.
func (t *table) rankDomains() {
	t.domains = map[string][]*peer{t.self.box.Domain: {t.self}}
	for _, p := range t.order {
		t.domains[p.box.Domain] = append(t.domains[p.box.Domain], p)
	}
	for _, peers := range t.domains {
		slices.SortFunc(peers, byRank)
	}
	t.unranked, t.indexes = false, nil
}

// insertRanked adds a live peer to its failure domain by rank.
func (t *table) insertRanked(p *peer) {
	peers := t.domains[p.box.Domain]
	at, _ := slices.BinarySearchFunc(peers, p, byRank)
	t.domains[p.box.Domain] = slices.Insert(peers, at, p)
	t.indexes = nil
}

// byRank compares boxes by their rank as relays.
func byRank(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(b.hash, a.hash))
}
