// Package claim lets a keyed call run at most once across boxes.
//
// A claim is written to the object API before the call is dispatched. Claims of one
// shard share an object and are written in batches: while one write is on its way
// the next batch gathers. Each write is conditional on the object's version, so two
// boxes that both believe that a shard is theirs cannot both grant a key; owning a
// shard only saves conflicts.
//
// Invariants: a key is granted once until it is released or expires; a grant is
// given only after the write that holds it is known to have taken effect.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/objectapi"
)

const (
	// Kind is the kind of the shards' objects.
	Kind = "claims"
	// DefaultKept is how long a key is remembered.
	DefaultKept = time.Hour
	// maxBatch bounds the claims of one write.
	maxBatch = 500
	// conflicts bounds how often a batch is tried against other writers.
	conflicts = 5
	settles   = 4
	settleGap = 50 * time.Millisecond
)

// Verdict is the answer to a claim.
type Verdict uint8

const (
	// Unavailable means that the claim could not be written: run nothing.
	Unavailable Verdict = iota
	// Granted means that this caller, and no other, may run the call.
	Granted
	// Taken means that the key was claimed before: the call ran, or may run.
	Taken
)

// Ledger writes the claims of one box. Set the exported fields before use.
type Ledger struct {
	// API is the object API.
	API objectapi.Objects
	// Clock gives the time.
	Clock clockwork.Clock
	// Kept is how long a key is remembered; 0 takes the default.
	Kept time.Duration
	// Metrics counts claims and writes.
	Metrics metrics.Registry

	mu     sync.Mutex
	shards [Shards]*shard
}

// shard is one object as this box last saw it, and what waits to be written.
type shard struct {
	name    string
	writing bool
	waiting []*request
	// known and version are the object; version 0 is not known or not there.
	known   contents
	version uint64
	read    bool
}

// contents is the value of a shard's object.
type contents struct {
	// Mark is that of the last write.
	Mark string `json:"mark"`
	// Claims holds, by key, when it was claimed, in seconds since 1970.
	Claims map[string]int64 `json:"claims"`
}

// request is a claim or a release that waits.
type request struct {
	key     string
	release bool
	done    chan Verdict
}

// Claim asks to run the call of a key. It returns Unavailable when ctx ends first;
// the claim may then still be written, and nobody runs the call.
func (l *Ledger) Claim(ctx context.Context, k Key) Verdict {
	return l.ask(ctx, k, false)
}

// Release gives a key back: its call was certainly not run.
func (l *Ledger) Release(ctx context.Context, k Key) { l.ask(ctx, k, true) }

func (l *Ledger) ask(ctx context.Context, k Key, release bool) Verdict {
	r := &request{key: k.String(), release: release, done: make(chan Verdict, 1)}
	l.mu.Lock()
	s := l.shards[k.Shard()]
	if s == nil {
		s = &shard{name: ShardName(k.Shard())}
		l.shards[k.Shard()] = s
	}
	s.waiting = append(s.waiting, r)
	if !s.writing {
		s.writing = true
		go l.write(s)
	}
	l.mu.Unlock()
	select {
	case v := <-r.done:
		return v
	case <-ctx.Done():
		return Unavailable
	}
}

// write writes batches of a shard until nothing waits.
func (l *Ledger) write(s *shard) {
	for {
		l.mu.Lock()
		n := min(len(s.waiting), maxBatch)
		batch := s.waiting[:n:n]
		s.waiting = s.waiting[n:]
		if n == 0 {
			s.writing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.count("claim.batches")
		l.commit(s, batch)
	}
}

// commit writes one batch and answers its requests. A shard has one writer in a
// process, so its fields need no lock here.
func (l *Ledger) commit(s *shard, batch []*request) {
	for range conflicts {
		if !s.read && l.readShard(s) != nil {
			break
		}
		next, verdicts := l.apply(s, batch)
		if next == nil {
			// Nothing changes: every key was taken already.
			answer(batch, verdicts)
			return
		}
		err := l.put(s, next)
		if err == nil {
			answer(batch, verdicts)
			return
		}
		s.read = false
		if !errors.Is(err, objectapi.ErrConflict) {
			break
		}
		l.count("claim.conflicts")
	}
	l.count("claim.unavailable")
	for _, r := range batch {
		r.done <- Unavailable
	}
}

// apply returns the contents with a batch, and the verdict on each request; the
// contents are nil when nothing changes.
func (l *Ledger) apply(s *shard, batch []*request) (*contents, []Verdict) {
	kept := l.Kept
	if kept == 0 {
		kept = DefaultKept
	}
	now := l.Clock.Now().Unix()
	oldest := now - int64(kept/time.Second)
	next := &contents{Mark: uuid.NewString(), Claims: make(map[string]int64, len(s.known.Claims)+len(batch))}
	for k, at := range s.known.Claims {
		if at >= oldest {
			next.Claims[k] = at
		}
	}
	changed := false
	verdicts := make([]Verdict, len(batch))
	for i, r := range batch {
		_, taken := next.Claims[r.key]
		switch {
		case r.release:
			changed = changed || taken
			delete(next.Claims, r.key)
			verdicts[i] = Granted
		case taken:
			verdicts[i] = Taken
		default:
			next.Claims[r.key] = now
			changed = true
			verdicts[i] = Granted
		}
	}
	if !changed {
		return nil, verdicts
	}
	return next, verdicts
}

// put writes the contents under the condition that nobody else did. When the answer
// is lost, the mark tells whether this write took effect.
func (l *Ledger) put(s *shard, next *contents) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("write claims: %w", err)
	}
	var version uint64
	if s.version == 0 {
		version, err = l.API.Create(Kind, s.name, value)
	} else {
		version, err = l.API.Update(Kind, s.name, value, s.version)
	}
	if errors.Is(err, objectapi.ErrUncertain) {
		l.count("claim.settled_by_reading")
		version, err = l.settle(s, next.Mark)
	}
	if err != nil {
		return err
	}
	invariant.Check(version > s.version, "claim-version-rises", "shard %s: %d after %d", s.name, version, s.version)
	s.known, s.version = *next, version
	return nil
}

// settle reads back whether the write with a mark took effect. When another write
// followed, nobody can tell from the mark: that counts as a conflict, and the keys
// that are in the object then count as taken, although they may be this box's own.
// Such a call is answered as taken, which is safe.
func (l *Ledger) settle(s *shard, mark string) (uint64, error) {
	var o objectapi.Object
	var err error
	for try := range settles {
		o, err = l.API.Get(Kind, s.name)
		if err == nil || errors.Is(err, objectapi.ErrNotFound) {
			break
		}
		<-l.Clock.After(settleGap << try)
	}
	if err != nil {
		return 0, fmt.Errorf("settle a lost answer: %w", err)
	}
	var have contents
	if err := json.Unmarshal(o.Value, &have); err != nil {
		return 0, fmt.Errorf("read claims: %w", err)
	}
	if have.Mark != mark {
		return 0, objectapi.ErrConflict
	}
	return o.Version, nil
}

// readShard reads a shard's object.
func (l *Ledger) readShard(s *shard) error {
	o, err := l.API.Get(Kind, s.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		s.known, s.version, s.read = contents{}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	var have contents
	if err := json.Unmarshal(o.Value, &have); err != nil {
		return fmt.Errorf("read claims: %w", err)
	}
	s.known, s.version, s.read = have, o.Version, true
	return nil
}

func answer(batch []*request, verdicts []Verdict) {
	for i, r := range batch {
		r.done <- verdicts[i]
	}
}

func (l *Ledger) count(name string) { metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1) }
