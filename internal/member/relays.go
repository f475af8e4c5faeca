package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// directPeers is the most live peers to whom a box tells each change itself. That
	// many datagrams cost about a quarter of a millisecond; in a larger fleet their number
	// grows with its square, and changes go by way of relays.
	directPeers = 24
	// relaysPerDomain is the number of boxes of a failure domain that pass on what others
	// tell. With two, neither a lost datagram nor a lost box delays the news.
	relaysPerDomain = 2
	// mostAtWork bounds the relays of another failure domain that are told what this box
	// collects. While boxes disagree on which are the relays, more than two are at work.
	mostAtWork = 4
	// relaySilence is the longest time between two datagrams from a relay that is at work:
	// two of its own heartbeats. Another is taken before any box counts as lost.
	relaySilence = 2*relayedRound + 100*time.Millisecond
	// settleTime is how long a box is not taken as a relay after it came, if there are
	// others: it learns who else is there within some two seconds.
	settleTime = 3 * time.Second
	// shunFor is how long a relay that fell silent is not taken again.
	shunFor = 5 * time.Second
)

// relayUse is what a box knows of a peer as a relay.
type relayUse struct {
	// used is when the peer was last sent something to pass on, and since is when that
	// began. Silence counts from then.
	used, since time.Time
	// direct is when a datagram of the peer itself last came.
	direct time.Time
	// passed is when the peer last passed on the news of its failure domain.
	passed time.Time
	// shunUntil is when a relay that fell silent may be taken again.
	shunUntil time.Time
}

// use notes that the peer gets something to pass on.
func (u *relayUse) use(now time.Time) {
	if now.Sub(u.used) > relaySilence {
		u.since = now
	}
	u.used = now
}

// watch shuns a peer that is in use and silent.
func (u *relayUse) watch(now time.Time) {
	if now.Sub(u.used) > relaySilence {
		return
	}
	last := u.since
	if u.direct.After(last) {
		last = u.direct
	}
	if now.Sub(last) > relaySilence {
		u.shunUntil = now.Add(shunFor)
		u.used = time.Time{}
	}
}

// relayed reports whether changes go by way of relays.
func (t *table) relayed() bool { return len(t.order) > directPeers }

// fitness orders boxes as relays before their rank does.
type fitness uint8

const (
	// fit is a box that has been there for some time.
	fit fitness = iota
	// fresh is one that does not know all others yet.
	fresh
	// silent is one that was taken and not heard from.
	silent
	fitnesses
)

// fitness returns how fit a peer is as a relay.
func (p *peer) fitness(now time.Time) fitness {
	switch {
	case now.Before(p.relay.shunUntil):
		return silent
	case now.Sub(p.came) < settleTime:
		return fresh
	default:
		return fit
	}
}

// relays returns the boxes of this failure domain that pass on what this box tells; the
// box itself may be one of them.
func (t *table) relays(now time.Time) []*peer {
	ranked := t.domains[t.self.box.Domain]
	for _, p := range ranked {
		p.relay.watch(now)
	}
	return fittest(ranked, relaysPerDomain, now)
}

// fittest returns some peers, the fittest first and of these the ones that rank first.
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

// relaysOf returns the boxes of another failure domain that pass on there what this box
// collects: those that are at work as relays. While there are too few, the fittest of the others
// are told as well, so that they become relays; and while there is none, some by chance, as
// those that rank first may have died just now.
func (t *table) relaysOf(domain string, now time.Time, rand *rand.Rand) []*peer {
	var chosen, others []*peer
	for _, p := range t.domains[domain] {
		if now.Sub(p.relay.passed) <= relaySilence {
			chosen = append(chosen, p)
		} else {
			others = append(others, p)
		}
	}
	if len(chosen) >= relaysPerDomain {
		return chosen[:min(len(chosen), mostAtWork)]
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

// rankDomains sorts the live boxes of each failure domain as relays: strong ones first,
// since a relay sends all news to all boxes of its failure domain.
func (t *table) rankDomains() {
	t.domains = map[string][]*peer{t.self.box.Domain: {t.self}}
	for _, p := range t.order {
		t.domains[p.box.Domain] = append(t.domains[p.box.Domain], p)
	}
	for _, peers := range t.domains {
		slices.SortFunc(peers, byRank)
	}
	t.unranked, t.rosters = false, nil
}

// rank puts a peer that is live now in its place as a relay.
func (t *table) rank(p *peer) {
	peers := t.domains[p.box.Domain]
	at, _ := slices.BinarySearchFunc(peers, p, byRank)
	t.domains[p.box.Domain] = slices.Insert(peers, at, p)
	t.rosters = nil
}

// byRank orders boxes as relays.
func byRank(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(b.hash, a.hash))
}
