// Package claim ensures that a call with an idempotency key runs at most once across
// boxes.
//
// A claim is written to the object API before the call is dispatched. The claims of a
// shard are stored in one object and written in batches: requests that arrive during
// a write form the next batch. Each write is conditional on the object's version, so
// two boxes that both consider themselves owner of a shard cannot both grant a key;
// ownership only avoids conflicts.
//
// Invariants: a key is granted once until it is released or expires; Granted is
// returned only after the write that contains the claim is confirmed.
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
	// Kind is the object kind of the shards.
	Kind = "claims"
	// DefaultRetention is the default retention period of a claim.
	DefaultRetention = time.Hour
	// maxBatch is the maximum number of requests in one write.
	maxBatch = 500
	// maxWriteAttempts limits the attempts to write a batch that conflicts with other
	// writers.
	maxWriteAttempts = 5
	// maxReadAttempts limits the reads that confirm a write; readRetryDelay doubles after
	// each.
	maxReadAttempts = 4
	readRetryDelay  = 50 * time.Millisecond
)

// Verdict is the result of a claim.
type Verdict uint8

const (
	// Unavailable means that the write was not confirmed: the call must not run.
	Unavailable Verdict = iota
	// Granted means that only this caller may run the call.
	Granted
	// Taken means that the key is already claimed: the call may have run or may yet run.
	Taken
)

// Ledger writes the claims made through one box. Set the exported fields before use.
type Ledger struct {
	// API stores the shards.
	API objectapi.Objects
	// Clock timestamps claims and times retries.
	Clock clockwork.Clock
	// Retention is the retention period of a claim; 0 means DefaultRetention.
	Retention time.Duration
	// Metrics counts claims and writes.
	Metrics metrics.Registry

	mu     sync.Mutex
	shards [Shards]*shard
}

// shard is the last known state of one object and the requests not yet written.
type shard struct {
	name    string
	writing bool
	waiting []*request
	// known and version are the last known value and version of the object. Version 0
	// means that it has not been read or does not exist.
	known   contents
	version uint64
	read    bool
}

// contents is the value of a shard's object.
type contents struct {
	// Mark identifies the last write.
	Mark string `json:"mark"`
	// Claims maps each key to the time of its claim, in seconds since 1970.
	Claims map[string]int64 `json:"claims"`
}

// request is a pending claim or release.
type request struct {
	key     string
	release bool
	done    chan Verdict
}

// Claim requests the right to run the call with key k. It returns Unavailable if ctx
// ends first; the claim may still be written then, and the call does not run.
func (l *Ledger) Claim(ctx context.Context, k Key) Verdict {
	return l.ask(ctx, k, false)
}

// Release removes the claim of a call that is known not to have run.
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

// write writes the requests of a shard in batches until none are waiting.
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

// commit writes one batch and replies to its requests. Each shard has one writer
// goroutine per process, so the fields used here need no lock.
func (l *Ledger) commit(s *shard, batch []*request) {
	for range maxWriteAttempts {
		if !s.read && l.readShard(s) != nil {
			break
		}
		next, verdicts := l.apply(s, batch)
		if next == nil {
			// Nothing to write: each claim is taken, or each release finds no claim.
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

// apply returns the contents after a batch and the verdict for each request. The
// contents are nil if the batch changes nothing.
func (l *Ledger) apply(s *shard, batch []*request) (*contents, []Verdict) {
	retention := l.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	now := l.Clock.Now().Unix()
	oldest := now - int64(retention/time.Second)
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

// put writes the contents if the object is unchanged since it was read. If the reply
// is lost, put reads the mark back to find out whether the write took effect.
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
		version, err = l.confirmWrite(s, next.Mark)
	}
	if err != nil {
		return err
	}
	invariant.Check(version > s.version, "claim-version-rises", "shard %s: %d after %d", s.name, version, s.version)
	s.known, s.version = *next, version
	return nil
}

// confirmWrite reads the object back to find out whether the write with the given mark
// took effect. If another write followed, the mark cannot show this. It returns a
// conflict then, and keys found in the object are reported as taken even if this box
// wrote them, which is safe.
func (l *Ledger) confirmWrite(s *shard, mark string) (uint64, error) {
	var o objectapi.Object
	var err error
	for try := range maxReadAttempts {
		o, err = l.API.Get(Kind, s.name)
		if err == nil || errors.Is(err, objectapi.ErrNotFound) {
			break
		}
		<-l.Clock.After(readRetryDelay << try)
	}
	if err != nil {
		return 0, fmt.Errorf("read claims to confirm a write: %w", err)
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
