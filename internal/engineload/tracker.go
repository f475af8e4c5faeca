// Package engineload adds up the load that all boxes put on each model engine.
//
// A box knows its own generations exactly, and those of the others from their heartbeats, a few
// milliseconds after each change. Together that is newer than an engine's own load report, and it
// costs the engine nothing. The last report of a silent box is kept until the box is considered
// gone.
package engineload

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dalebend/dalebend/internal/digest"
)

// Load is the known load of one engine.
type Load struct {
	// Streams is the number of generations.
	Streams int
	// HeldTokens is the memory that they hold now, including pending prompts.
	HeldTokens int
	// ExpectedGrowth is the memory that they are expected to need in addition.
	ExpectedGrowth int
	// PendingPrefill is the number of prompt tokens that are not prefilled yet.
	PendingPrefill int
	// CopyTokens is the memory held by backup copies of generations that run elsewhere.
	CopyTokens int
	// Unreplicated is the number of generations that would have to be moved if the engine left:
	// past their prefill, without a copy elsewhere, and with no move that has ended.
	Unreplicated int
	// IncomingCopies is the number of copies in transit to the engine: of generations that are
	// being moved, and of those that have only just begun elsewhere.
	IncomingCopies int
}

// ExpectedPeak returns the expected maximum of the memory held. Generations end at different times:
// when one is at its longest, the others are halfway there.
func (l Load) ExpectedPeak() int { return l.HeldTokens + l.ExpectedGrowth/2 + l.CopyTokens }

func (l *Load) add(o Load, sign int) {
	l.Streams += sign * o.Streams
	l.HeldTokens += sign * o.HeldTokens
	l.ExpectedGrowth += sign * o.ExpectedGrowth
	l.PendingPrefill += sign * o.PendingPrefill
	l.CopyTokens += sign * o.CopyTokens
	l.Unreplicated += sign * o.Unreplicated
	l.IncomingCopies += sign * o.IncomingCopies
}

// Tracker sums the generations of this box and of its peers by engine. It is safe for concurrent
// use. Create it with New, and set the exported fields before use.
type Tracker struct {
	// DecodeTimeCode, if set, returns the encoded time per output token of an engine that OwnLoads
	// reports to peers as digest.Load.Pace; 0 is unknown.
	DecodeTimeCode func(server string) int32
	// OnPrompt, if set, is called for each prompt that this box or a peer sends to an engine. It is
	// called with the lock held and must not call the Tracker.
	OnPrompt func(server string, tokens int)

	// pendingPrefill caches the sums for PendingPrefill.
	pendingPrefill atomic.Pointer[pendingPrefill]

	mu       sync.Mutex
	own      map[*Generation]struct{}
	peers    map[string][]digest.Load
	peerSums map[string]*Load
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		own:      make(map[*Generation]struct{}),
		peers:    make(map[string][]digest.Load),
		peerSums: make(map[string]*Load),
	}
}

// UpdatePeer replaces the loads of a peer. It returns how many generations were added on engines
// that gained some, 0 for the first report of a peer.
func (l *Tracker) UpdatePeer(box string, loads []digest.Load) (started int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.peers[box]
	if known {
		started = startedSince(old, loads)
		l.reportNewPrompts(old, loads)
	}
	l.apply(old, -1)
	l.peers[box] = loads
	l.apply(loads, 1)
	return started
}

// startedSince returns the increase in generations, summed over the engines that gained some.
func startedSince(old, now []digest.Load) int {
	started := 0
	for i := range now {
		more := now[i].Streams - digest.LoadFor(old, now[i].Server).Streams
		started += max(0, int(more))
	}
	return started
}

// reportNewPrompts calls OnPrompt for the prompts that a peer has sent since its last report.
func (l *Tracker) reportNewPrompts(old, now []digest.Load) {
	if l.OnPrompt == nil {
		return
	}
	for i := range now {
		if more := now[i].Prefill - digest.LoadFor(old, now[i].Server).Prefill; more > 0 {
			l.OnPrompt(now[i].Server, int(more))
		}
	}
}

// ForgetPeer removes the loads of a peer that is gone.
func (l *Tracker) ForgetPeer(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.peers[box], -1)
	delete(l.peers, box)
}

func (l *Tracker) apply(loads []digest.Load, sign int) {
	for i := range loads {
		d := &loads[i]
		sum := l.peerSums[d.Server]
		if sum == nil {
			sum = &Load{}
			l.peerSums[d.Server] = sum
		}
		sum.add(fromDigest(d), sign)
		if *sum == (Load{}) {
			delete(l.peerSums, d.Server)
		}
	}
}

func fromDigest(d *digest.Load) Load {
	return Load{
		Streams: int(d.Streams), HeldTokens: int(d.Tokens), ExpectedGrowth: int(d.Growth),
		PendingPrefill: int(d.Prefill), CopyTokens: int(d.Copies),
		Unreplicated: int(d.Bare), IncomingCopies: int(d.Arriving),
	}
}

// UnreplicatedByPeer returns, by box, how many generations each peer would have to move off an
// engine.
func (l *Tracker) UnreplicatedByPeer(server string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	unreplicated := make(map[string]int)
	for box, loads := range l.peers {
		for i := range loads {
			if loads[i].Server == server && loads[i].Bare > 0 {
				unreplicated[box] += int(loads[i].Bare)
			}
		}
	}
	return unreplicated
}

// PeersOn returns the peers that run generations on an engine.
func (l *Tracker) PeersOn(server string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var boxes []string
	for box, loads := range l.peers {
		if slices.ContainsFunc(loads, func(d digest.Load) bool { return d.Server == server && d.Streams > 0 }) {
			boxes = append(boxes, box)
		}
	}
	return boxes
}

// All returns the load of every engine that has any, by server ID.
func (l *Tracker) All() map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]Load, len(l.peerSums)+len(l.own))
	for server, load := range l.peerSums {
		all[server] = *load
	}
	l.addOwn(all)
	return all
}

// OwnLoads returns the loads of this box, in the form that is sent to peers.
func (l *Tracker) OwnLoads() []digest.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Load, len(l.own))
	l.addOwn(own)
	loads := make([]digest.Load, 0, len(own))
	for server, load := range own {
		code := int32(0)
		if l.DecodeTimeCode != nil {
			code = l.DecodeTimeCode(server)
		}
		loads = append(loads, digest.Load{
			Server: server, Streams: int32(load.Streams), Tokens: int32(load.HeldTokens),
			Growth: int32(load.ExpectedGrowth), Prefill: int32(load.PendingPrefill), Copies: int32(load.CopyTokens),
			Bare: int32(load.Unreplicated), Arriving: int32(load.IncomingCopies),
			Pace: code,
		})
	}
	return loads
}

func (l *Tracker) addOwn(to map[string]Load) {
	for r := range l.own {
		load, copies := r.load()
		if !r.orphanedCopy {
			sum := to[r.server]
			sum.add(load, 1)
			to[r.server] = sum
		}
		if r.backup != "" {
			sum := to[r.backup]
			sum.add(copies, 1)
			to[r.backup] = sum
		}
	}
}
