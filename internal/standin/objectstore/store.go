// Package objectstore is a stand-in for the platform's object API.
//
// It holds versioned objects in memory, with conditional writes, watches by
// waiting reads, rate limits, outages and answers that are lost after taking
// effect. docs/BACKENDS.md gives its interface.
package objectstore

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/standin/fault"
)

const (
	// The platform's rates, a second.
	defaultWrites = 100
	defaultReads  = 2000
	maxValue      = 1 << 20
)

// Store is one stand-in. Set the exported fields before Run.
type Store struct {
	// Writes and Reads bound calls a second; 0 takes the defaults.
	Writes int
	Reads  int
	// Clock gives the time.
	Clock clockwork.Clock
	// Faults tells the store to misbehave.
	Faults fault.Switch

	mu       sync.Mutex
	objects  map[string]map[string]object
	revision uint64
	changed  chan struct{}
	writes   *rate.Limiter
	reads    *rate.Limiter
	stats    Stats
	stopped  <-chan struct{}
}

// Stats counts calls since the start.
type Stats struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Refused  int64 `json:"refused"`
	Conflict int64 `json:"conflict"`
}

// object is one stored value; version is the revision of its last write.
type object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listAnswer is the body of a list or watch.
type listAnswer struct {
	Revision uint64   `json:"revision"`
	Objects  []object `json:"objects"`
}

// Run serves on the listener until ctx ends.
func (s *Store) Run(ctx context.Context, ln net.Listener) error {
	s.prepare()
	s.stopped = ctx.Done()
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 2 * maxValue})
}

func (s *Store) prepare() {
	if s.Writes == 0 {
		s.Writes = defaultWrites
	}
	if s.Reads == 0 {
		s.Reads = defaultReads
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]map[string]object)
	s.changed = make(chan struct{})
	s.writes = rate.NewLimiter(rate.Limit(s.Writes), s.Writes)
	s.reads = rate.NewLimiter(rate.Limit(s.Reads), s.Reads)
}

// Stats returns the calls so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// put writes an object if its version is the expected one; 0 means absent and a
// nil expectation writes in any case. It returns the version after the call.
func (s *Store) put(kind, name string, value []byte, expect *uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	current := old.Version
	if old.Deleted {
		current = 0
	}
	if expect != nil && *expect != current {
		s.stats.Conflict++
		return current, false
	}
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = object{
		Name: name, Version: s.revision, Value: slices.Clone(value), Deleted: value == nil,
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

func (s *Store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok && !o.Deleted
}

// list returns the objects of a kind written after a revision, oldest first, and
// a channel that closes at the next write.
func (s *Store) list(kind, prefix string, after uint64) (listAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := listAnswer{Revision: s.revision, Objects: []object{}}
	for _, o := range s.objects[kind] {
		if o.Version > after && strings.HasPrefix(o.Name, prefix) && (after > 0 || !o.Deleted) {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b object) int { return int(a.Version) - int(b.Version) })
	return out, s.changed
}
