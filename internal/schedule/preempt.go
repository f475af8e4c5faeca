package schedule

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fairqueue"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/route"
)

const (
	// preemptAfter is how long a job waits before streams of lower priority are preempted for it.
	preemptAfter = time.Second
	// preemptInterval is the minimum time between two preemptions, so that the effect of the first
	// is known.
	preemptInterval = 50 * time.Millisecond
	// minRemainingTokens is the expected remaining length below which a stream isn't preempted.
	minRemainingTokens = 32
	// maxPreemptions limits how often one stream is preempted.
	maxPreemptions = 1
	// maxPause is how long a preempted stream is paused before it resumes in any case, and
	// resumePriorityAfter how long until its engine accepts no new work before it resumes.
	maxPause            = 2 * time.Second
	resumePriorityAfter = 250 * time.Millisecond
	// victimSamples is the number of engines sampled for a victim.
	victimSamples = 8
	median        = 0.5
)

// preempt pauses a stream of lower priority when a job of higher priority has waited for
// preemptAfter.
func (s *Scheduler) preempt(now time.Time, m *modelState, entry *fairqueue.Entry[*waiter]) {
	waited := now.Sub(entry.At())
	if s.Control == nil || waited < preemptAfter || now.Sub(s.preemptedAt) < preemptInterval {
		return
	}
	members := m.dealtEngines.Members()
	priority := entry.Value().job.Account.Priority()
	var victim *Placement
	for range min(victimSamples, len(members)) {
		e := members[s.rng.IntN(len(members))]
		if e.Draining() {
			continue
		}
		victim = cheaper(victim, s.victim(e, priority))
	}
	if victim == nil {
		return
	}
	s.preemptedAt = now
	s.pause(now, victim, "makes way for "+entry.Value().job.Account.Name())
}

// victim returns the stream of an engine that is best preempted for the given priority, or nil.
func (s *Scheduler) victim(e *route.Engine, priority int) *Placement {
	var best *Placement
	for p := range s.placed[e] {
		if p.generation == "" || p.pausing || p.stream.Paused() || p.stream.PauseCount() >= maxPreemptions {
			continue
		}
		if p.stream.Priority() <= priority || p.stream.Remaining(median) < minRemainingTokens {
			continue
		}
		best = cheaper(best, p)
	}
	return best
}

// cheaper returns the stream that is better preempted: the one with the lower priority, then the
// one that would hold its memory for longer.
func cheaper(a, b *Placement) *Placement {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.stream.Priority() != b.stream.Priority():
		if a.stream.Priority() > b.stream.Priority() {
			return a
		}
		return b
	case a.stream.Remaining(median) != b.stream.Remaining(median):
		if a.stream.Remaining(median) > b.stream.Remaining(median) {
			return a
		}
		return b
	case a.generation < b.generation:
		return a
	default:
		return b
	}
}

// busyEngines returns the engines with placements, sorted by name.
func (s *Scheduler) busyEngines() []*route.Engine {
	return slices.SortedFunc(maps.Keys(s.placed), func(a, b *route.Engine) int {
		return strings.Compare(a.Server().Name(), b.Server().Name())
	})
}

// pause asks the engine to pause a stream, which frees its memory.
func (s *Scheduler) pause(now time.Time, p *Placement, reason string) {
	p.pausing = true
	s.stats.paused.Inc(1)
	s.record(now, journal.PushedBack, p.waiter.job, p.server.Name(), reason)
	s.spawn(func() {
		err := s.Control.Pause(p.server.Name(), p.server.Address(), p.generation)
		s.mu.Lock()
		defer s.mu.Unlock()
		p.pausing = false
		if err != nil || p.ended {
			return
		}
		later := s.Clock.Now()
		p.pausedAt = later
		p.engine.Pause(p.stream, later)
		s.dispatch(later, p.engine)
	})
}

// resumePaused resumes preempted streams, the oldest first, when there is capacity and no job of
// higher priority waits, or after maxPause.
func (s *Scheduler) resumePaused(now time.Time) {
	for _, e := range s.busyEngines() {
		var oldest *Placement
		for p := range s.placed[e] {
			if p.stream.Paused() && (oldest == nil || p.pausedAt.Before(oldest.pausedAt)) {
				oldest = p
			}
		}
		if oldest != nil && s.canResume(now, e, oldest) {
			s.resume(now, oldest)
		}
	}
}

// hasOverduePause reports whether an engine has a paused stream that must resume before new work.
func (s *Scheduler) hasOverduePause(now time.Time, e *route.Engine) bool {
	for p := range s.placed[e] {
		if p.stream.Paused() && now.Sub(p.pausedAt) >= resumePriorityAfter {
			return true
		}
	}
	return false
}

func (s *Scheduler) canResume(now time.Time, e *route.Engine, p *Placement) bool {
	if now.Sub(p.pausedAt) >= maxPause {
		return true
	}
	if m := s.models[p.waiter.key.Model]; m != nil && now.Sub(p.pausedAt) < resumePriorityAfter {
		head, ok := m.queue.Peek(now)
		if ok && head.Value().job.Account.Priority() < p.stream.Priority() {
			return false
		}
	}
	return e.FitsNow(p.stream, now)
}

func (s *Scheduler) resume(now time.Time, p *Placement) {
	p.engine.Resume(p.stream, now)
	s.stats.unpaused.Inc(1)
	s.record(now, journal.Continued, p.waiter.job, p.server.Name(), "aside for "+now.Sub(p.pausedAt).String())
	s.spawn(func() {
		// A failure shows in the stream itself, which resumes or ends.
		_ = s.Control.Unpause(p.server.Name(), p.server.Address(), p.generation)
	})
}
