// Package engineload adds up what all boxes run on each model engine.
//
// A box knows its own generations exactly and hears those of the others with
// their heartbeats, a few milliseconds after each change. Together that is
// newer than an engine's own load report, and it costs the engine nothing.
// What a box that fell silent last told is kept until the box is taken as gone.
package engineload

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dalebend/dalebend/internal/digest"
)

// Load is what is believed to be on one engine.
type Load struct {
	// Streams is the number of generations.
	Streams int
	// Tokens is the memory that they hold now, prompts that are still to be read included.
	Tokens int
	// Growth is the memory that they are expected to take yet.
	Growth int
	// Prefill is the number of prompt tokens that are still to be read.
	Prefill int
	// Copies is the memory held by copies of generations that run elsewhere.
	Copies int
	// Bare is the number of generations without a copy elsewhere that would have to be
	// moved if the engine left: those that have begun and whose move is not over.
	Bare int
	// Arriving is the number of copies that are on their way there: of generations that
	// are being moved, and of those that have only just begun elsewhere.
	Arriving int
}

// Peak returns the memory that is expected to be held at most. Generations end
// at different times: when one is at its longest, the others are halfway there.
func (l Load) Peak() int { return l.Tokens + l.Growth/2 + l.Copies }

func (l *Load) add(o Load, sign int) {
	l.Streams += sign * o.Streams
	l.Tokens += sign * o.Tokens
	l.Growth += sign * o.Growth
	l.Prefill += sign * o.Prefill
	l.Copies += sign * o.Copies
	l.Bare += sign * o.Bare
	l.Arriving += sign * o.Arriving
}

// Ledger is safe for concurrent use. Get one from New, and set the exported fields before use.
type Ledger struct {
	// Pace, if set, returns what this box tells its peers of the pace of an engine, as
	// digest.Load.Pace; 0 is nothing.
	Pace func(server string) int32
	// Prompt, if set, is told of each prompt that an engine is to read, by this box or a peer. It is
	// called with the lock held and must not call the ledger.
	Prompt func(server string, tokens int)

	// unread is what was last added up for Prefill.
	unread atomic.Pointer[unread]

	mu     sync.Mutex
	own    map[*Run]struct{}
	peers  map[string][]digest.Load
	others map[string]*Load
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		own:    make(map[*Run]struct{}),
		peers:  make(map[string][]digest.Load),
		others: make(map[string]*Load),
	}
}

// Heard replaces what a peer runs. It returns how many generations more there are on the
// engines than it told before, 0 for a peer that is heard for the first time.
func (l *Ledger) Heard(box string, loads []digest.Load) (started int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.peers[box]
	if known {
		started = startedSince(old, loads)
		l.promptsSince(old, loads)
	}
	l.apply(old, -1)
	l.peers[box] = loads
	l.apply(loads, 1)
	return started
}

// startedSince returns how many generations more a list has, over all engines that gained.
func startedSince(old, now []digest.Load) int {
	started := 0
	for i := range now {
		more := now[i].Streams - digest.LoadOn(old, now[i].Server).Streams
		started += max(0, int(more))
	}
	return started
}

// promptsSince tells of the prompts that a peer gave to engines since its last list.
func (l *Ledger) promptsSince(old, now []digest.Load) {
	if l.Prompt == nil {
		return
	}
	for i := range now {
		if more := now[i].Prefill - digest.LoadOn(old, now[i].Server).Prefill; more > 0 {
			l.Prompt(now[i].Server, int(more))
		}
	}
}

// Forget drops what a peer ran that is gone.
func (l *Ledger) Forget(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.peers[box], -1)
	delete(l.peers, box)
}

func (l *Ledger) apply(loads []digest.Load, sign int) {
	for i := range loads {
		d := &loads[i]
		sum := l.others[d.Server]
		if sum == nil {
			sum = &Load{}
			l.others[d.Server] = sum
		}
		sum.add(fromDigest(d), sign)
		if *sum == (Load{}) {
			delete(l.others, d.Server)
		}
	}
}

func fromDigest(d *digest.Load) Load {
	return Load{
		Streams: int(d.Streams), Tokens: int(d.Tokens), Growth: int(d.Growth),
		Prefill: int(d.Prefill), Copies: int(d.Copies),
		Bare: int(d.Bare), Arriving: int(d.Arriving),
	}
}

// Bare returns how many generations each peer would have to move off an engine, by box.
func (l *Ledger) Bare(server string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	bare := make(map[string]int)
	for box, loads := range l.peers {
		for i := range loads {
			if loads[i].Server == server && loads[i].Bare > 0 {
				bare[box] += int(loads[i].Bare)
			}
		}
	}
	return bare
}

// Users returns the peers that run generations on an engine.
func (l *Ledger) Users(server string) []string {
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

// All returns what is believed to be on every engine that has anything, by the
// engine's id.
func (l *Ledger) All() map[string]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]Load, len(l.others)+len(l.own))
	for server, load := range l.others {
		all[server] = *load
	}
	l.addOwn(all)
	return all
}

// Own returns what this box itself runs, as it is told to its peers.
func (l *Ledger) Own() []digest.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Load, len(l.own))
	l.addOwn(own)
	loads := make([]digest.Load, 0, len(own))
	for server, load := range own {
		pace := int32(0)
		if l.Pace != nil {
			pace = l.Pace(server)
		}
		loads = append(loads, digest.Load{
			Server: server, Streams: int32(load.Streams), Tokens: int32(load.Tokens),
			Growth: int32(load.Growth), Prefill: int32(load.Prefill), Copies: int32(load.Copies),
			Bare: int32(load.Bare), Arriving: int32(load.Arriving),
			Pace: pace,
		})
	}
	return loads
}

func (l *Ledger) addOwn(to map[string]Load) {
	for r := range l.own {
		load, copies := r.load()
		if !r.remains {
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
