package engine

import (
	"context"
	"slices"
	"time"
)

// steps runs the batch until ctx ends.
func (e *Engine) steps(ctx context.Context) {
	next := e.Clock.Now()
	for ctx.Err() == nil {
		d, busy := e.step()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			case <-e.Clock.After(keepAlive):
			}
			next = e.Clock.Now()
			continue
		}
		next = next.Add(d)
		wait := next.Sub(e.Clock.Now())
		if wait <= 0 {
			next = e.Clock.Now()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(wait):
		}
	}
}

// step admits, prefills and decodes once. It returns how long that takes and
// whether there was anything to do.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropDetached()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	batch := len(e.running)
	prefilled := e.prefill()
	e.decode()
	d := e.DecodeStep + e.DecodeStep*time.Duration(batch)/batchCost
	return d + time.Duration(prefilled)*prefillTokenCost, true
}

// admit moves waiting sequences into the batch while memory lasts.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	slices.SortStableFunc(e.waiting, compare)
	admitted := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.MaxBatch {
			break
		}
		private := max(0, s.blocksBeyondPrompt())
		if len(e.running) > 0 && e.kv.InUse()+private+e.watermark() > e.kv.Total() {
			break
		}
		hits := e.kv.Hits(s.prompt)
		if !e.kv.Acquire(s.prompt, private) {
			break
		}
		s.private = private
		s.prefill = max(1, s.tokens()-hits*blockTokens)
		s.state = seqRunning
		e.running = append(e.running, s)
		admitted++
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
}

// watermark is the memory that is left free when streams are admitted, as engines
// do, so that one that was just pushed out does not come back only to be pushed out
// again.
func (e *Engine) watermark() int { return max(1, e.kv.Total()/100) }

func compare(a, b *sequence) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// prefill computes prompt tokens within the bound of a step.
func (e *Engine) prefill() int {
	budget := prefillPerStep
	for _, s := range e.running {
		n := min(s.prefill, budget)
		s.prefill -= n
		budget -= n
	}
	return prefillPerStep - budget
}

// decode adds a token to each sequence whose prompt is computed.
func (e *Engine) decode() {
	for _, s := range slices.Clone(e.running) {
		if s.state != seqRunning || s.prefill > 0 {
			continue
		}
		if !e.makeRoom(s) {
			continue
		}
		s.produced++
		e.stats.tokens.Add(1)
		if s.produced >= s.target {
			e.leaveBatch(s, seqFinished)
			e.stats.finished.Add(1)
		}
		s.signal()
	}
}

// makeRoom gives s the block of its next token, preempting others if need be. It
// returns false when s itself was preempted.
func (e *Engine) makeRoom(s *sequence) bool {
	for s.blocksBeyondPrompt() > s.private {
		if e.kv.Grow() {
			s.private++
			continue
		}
		victim := s
		for _, o := range e.running {
			if victim.before(o) {
				victim = o
			}
		}
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	return true
}

// preempt pushes a sequence out of memory; it starts again by recomputing.
func (e *Engine) preempt(s *sequence) {
	e.stats.preemptions.Add(1)
	e.leaveBatch(s, seqWaiting)
	e.waiting = append(e.waiting, s)
}

// leaveBatch takes a running sequence out and frees its memory.
func (e *Engine) leaveBatch(s *sequence, to seqState) {
	e.kv.Release(s.prompt, s.private)
	s.private = 0
	s.state = to
	i := slices.Index(e.running, s)
	e.running = slices.Delete(e.running, i, i+1)
}

// stop ends or pauses a sequence wherever it is.
func (e *Engine) stop(s *sequence, to seqState) {
	switch s.state {
	case seqRunning:
		e.leaveBatch(s, to)
	case seqWaiting:
		i := slices.Index(e.waiting, s)
		e.waiting = slices.Delete(e.waiting, i, i+1)
		s.state = to
	case seqPaused:
		s.state = to
	case seqFinished, seqCancelled:
	}
	s.signal()
}

// dropDetached forgets generations that nobody has read for the grace period.
func (e *Engine) dropDetached() {
	now := e.Clock.Now()
	for id, s := range e.sequences {
		if s.detached.IsZero() || now.Sub(s.detached) < detachedGrace {
			continue
		}
		if !s.ended() {
			e.stop(s, seqCancelled)
			e.stats.cancelled.Add(1)
		}
		delete(e.sequences, id)
	}
}

// poke wakes an idle batch.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
