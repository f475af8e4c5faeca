package serverpath

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/member"
)

// Ranks of peers; lower ones are tried first.
const (
	rankPreferred = iota
	// rankNear is that of peers in the failure domain of the server.
	rankNear
	rankOther
	// rankHeld is that of peers that lately could not connect to any server.
	rankHeld
	numRanks
)

// choosePeer returns a peer to connect to a server, or nil if there is none besides those tried. Peers of
// one rank share the work at random.
func (s *Selector) choosePeer(server, preferred string, tried []string) *member.Box {
	peers := s.Peers()
	domain := s.Domain(server)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	best, rank, seen := -1, numRanks, 0
	for i := range peers {
		if slices.Contains(tried, peers[i].Name) {
			continue
		}
		switch got := s.rankPeer(&peers[i], preferred, domain, now); {
		case got < rank:
			best, rank, seen = i, got, 1
		case got == rank:
			// Each of those seen so far is chosen with the same probability.
			seen++
			if s.Draw(seen) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return nil
	}
	return &peers[best]
}

// rankPeer ranks a peer. The lock must be held.
func (s *Selector) rankPeer(peer *member.Box, preferred, domain string, now time.Time) int {
	switch {
	case now.Before(s.heldPeers[peer.Name]):
		return rankHeld
	case peer.Name == preferred:
		return rankPreferred
	case peer.Domain == domain:
		return rankNear
	default:
		return rankOther
	}
}

// holdPeer makes a peer that could not connect to any server the last choice for a time.
func (s *Selector) holdPeer(name string) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldPeers == nil {
		s.heldPeers = make(map[string]time.Time)
	}
	for other, until := range s.heldPeers {
		if !now.Before(until) {
			delete(s.heldPeers, other)
		}
	}
	s.heldPeers[name] = now.Add(peerHoldTime)
}
