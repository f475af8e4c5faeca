package schedule

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fairqueue"
	"github.com/dalebend/dalebend/internal/hashring"
	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/prefix"
	"github.com/dalebend/dalebend/internal/route"
)

// undealtShare is the part up to which an engine that isn't dealt to this box may be filled: the
// rest allows for how little this box knows of it.
const undealtShare = 0.88

// bytesPerToken estimates the tokens of a prompt; engines count for themselves.
const bytesPerToken = 4

// Acquire assigns an engine to the job, and waits for one if necessary. The error is a *Refusal. If
// ctx ends first, the job leaves the queue.
func (s *Scheduler) Acquire(ctx context.Context, job *Job) (*Placement, error) {
	w := &waiter{job: job, result: make(chan result, 1)}
	w.request.Blocks = prefix.BlockHashes(job.Prompt)
	w.request.PromptTokens = max(1, len(job.Prompt)/bytesPerToken)
	w.request.Avoid = job.Avoid
	m, entry := s.submit(w)
	select {
	case r := <-w.result:
		return placementOrError(r)
	case <-ctx.Done():
		s.leave(m, entry, w)
		return placementOrError(<-w.result)
	}
}

func placementOrError(r result) (*Placement, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.placement, nil
}

// submit queues the job and dispatches what fits.
func (s *Scheduler) submit(w *waiter) (*modelState, *fairqueue.Entry[*waiter]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	base, _, _ := strings.Cut(w.job.Model, ":")
	m := s.models[base]
	if refusal := s.refusalOnArrival(m, w, now); refusal != nil {
		s.stats.refused.Inc(1)
		s.record(now, journal.Refused, w.job, "", refusal.Error())
		w.decide(result{refusal: refusal})
		return nil, nil
	}
	account := w.job.Account
	w.key = outputlength.Key{Model: base, Account: account.Name(), Kind: w.job.Kind}
	w.deadline = now.Add(account.MaxWait())
	entry := m.queue.Push(account.Name(), account.Priority(), account.Weight(), now, w)
	s.dispatch(now, nil)
	if !w.decided {
		s.record(now, journal.Queued, w.job, "", "no engine has room by forecast")
	}
	return m, entry
}

// refusalOnArrival returns the refusal that the job would get at the end of its wait, or nil.
func (s *Scheduler) refusalOnArrival(m *modelState, w *waiter, now time.Time) *Refusal {
	switch {
	case s.stopped:
		return &Refusal{reason: Stopping, retryAfter: time.Second}
	case m == nil:
		return &Refusal{reason: UnknownModel}
	case !anyAvailable(m):
		return &Refusal{reason: NoEngine, retryAfter: time.Second}
	case m.queue.Len() >= s.fleet.MaxQueue():
		return &Refusal{reason: QueueFull, retryAfter: time.Second}
	}
	ahead := 0
	m.queue.Each(func(e *fairqueue.Entry[*waiter]) bool {
		if e.Value().job.Account.Priority() <= w.job.Account.Priority() {
			ahead++
		}
		return true
	})
	wait := m.rate.wait(now, ahead)
	if limit := w.job.Account.MaxWait(); wait > limit {
		return &Refusal{reason: WaitTooLong, retryAfter: wait - limit + time.Second}
	}
	return nil
}

// anyAvailable reports whether at least one engine of the model isn't draining.
func anyAvailable(m *modelState) bool {
	return slices.ContainsFunc(m.allEngines.Members(), func(e *route.Engine) bool { return !e.Draining() })
}

// leave removes the job of a caller that went away, unless it has its result already.
func (s *Scheduler) leave(m *modelState, entry *fairqueue.Entry[*waiter], w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.decided {
		s.refuse(m, entry, &Refusal{reason: CallerGone})
	}
}

// refuse removes an entry from the queue and sends its waiter the refusal.
func (s *Scheduler) refuse(m *modelState, e *fairqueue.Entry[*waiter], r *Refusal) {
	m.queue.Remove(e)
	s.stats.refused.Inc(1)
	s.record(s.Clock.Now(), journal.Refused, e.Value().job, "", r.Error())
	e.Value().decide(result{refusal: r})
}

// expire refuses jobs that have waited for the maximum wait of their account.
func (s *Scheduler) expire(now time.Time) {
	for _, m := range s.models {
		m.queue.Each(func(e *fairqueue.Entry[*waiter]) bool {
			if now.Before(e.Value().deadline) {
				return true
			}
			after := max(time.Second, m.rate.wait(now, m.queue.Len()))
			s.refuse(m, e, &Refusal{reason: WaitTooLong, retryAfter: after})
			return true
		})
	}
}

// dispatch assigns engines to waiting jobs while engines have capacity. Models share engines: the
// one whose next job has the highest priority goes first.
func (s *Scheduler) dispatch(now time.Time, freed *route.Engine) {
	type waiting struct {
		model    *modelState
		priority int
	}
	var list []waiting
	for _, m := range s.models {
		if head, ok := m.queue.Peek(now); ok {
			list = append(list, waiting{model: m, priority: head.Value().job.Account.Priority()})
		}
	}
	slices.SortFunc(list, func(a, b waiting) int {
		if a.priority != b.priority {
			return cmp.Compare(a.priority, b.priority)
		}
		return strings.Compare(a.model.name, b.model.name)
	})
	for _, w := range list {
		s.dispatchModel(now, w.model, freed)
	}
}

func (s *Scheduler) dispatchModel(now time.Time, m *modelState, freed *route.Engine) {
	v := s.view(m, m.dealtEngines, now)
	if freed != nil && holds(m, freed) {
		v.Freed = freed
	}
	for {
		// Starving entries get their share of picks, with the terms of the highest priority. One
		// that doesn't fit must not block the others.
		if entry, turn := m.queue.PeekStarving(now); turn && !s.overLimit(entry.Value()) && s.tryPlace(now, m, v, entry, 0) {
			continue
		}
		entry, ok := m.queue.PeekStrict()
		if !ok {
			return
		}
		account := entry.Value().job.Account
		if s.overLimit(entry.Value()) {
			m.queue.Hold(account.Name())
			continue
		}
		if !s.tryPlace(now, m, v, entry, account.Priority()) {
			s.borrow(now, m, entry)
			s.preempt(now, m, entry)
			return
		}
	}
}

// tryPlace places an entry, with the terms of a priority, if an engine has capacity for it.
func (s *Scheduler) tryPlace(now time.Time, m *modelState, v *route.View, entry *fairqueue.Entry[*waiter], priority int) bool {
	w := entry.Value()
	s.predict(w)
	v.Terms = s.terms(now, priority)
	e, ok := s.Policy.Choose(&w.request, v)
	if !ok && m.allEngines != m.dealtEngines && !anyUsable(v) {
		wide := s.view(m, m.allEngines, now)
		wide.Terms = v.Terms
		wide.Terms.MemoryLimit *= undealtShare
		wide.Terms.CommonLimit *= undealtShare
		e, ok = s.Policy.Choose(&w.request, wide)
	}
	if !ok {
		return false
	}
	m.queue.Pick(entry)
	s.place(now, m, entry, e)
	return true
}

// view returns the engines of a ring as a policy sees them.
func (s *Scheduler) view(m *modelState, ring *hashring.Ring[*route.Engine], now time.Time) *route.View {
	return &route.View{Ring: ring, Domain: s.Domain, Usable: s.usable(m, ring, now), Rand: s.rng, Now: now}
}

// anyUsable reports whether any engine of a view accepts new work.
func anyUsable(v *route.View) bool { return slices.ContainsFunc(v.Ring.Members(), v.Usable) }

func holds(m *modelState, e *route.Engine) bool {
	for _, have := range e.Server().Models() {
		if have == m.name {
			return true
		}
	}
	return false
}

// expectedTokens returns how many tokens of memory a job is expected to use.
func (s *Scheduler) expectedTokens(w *waiter) float64 {
	return float64(w.request.PromptTokens) + s.book.Curve(w.key).Mean()
}

// predict creates the stream that the job would run as, with the current length forecast.
func (s *Scheduler) predict(w *waiter) {
	curve := s.book.Curve(w.key)
	knownLength := 0
	if s.TrueLength != nil {
		knownLength = s.TrueLength(w.job.Prompt)
	}
	w.request.Expected = curve.Mean()
	w.expected = s.expectedTokens(w)
	w.request.Stream = w.stream(curve, w.request.PromptTokens, knownLength)
}

// place assigns an engine to a job.
func (s *Scheduler) place(now time.Time, m *modelState, entry *fairqueue.Entry[*waiter], e *route.Engine) *Placement {
	invariant.Check(!e.Draining(), "no-work-to-leaving", "%s is leaving", e.Server().Name())
	w := entry.Value()
	p := &Placement{scheduler: s, engine: e, server: e.Server(), waiter: w, stream: w.request.Stream}
	p.stream.SetSharedTokens(route.SharedTokens(e, w.request.Blocks))
	e.Add(p.stream, now)
	e.PrefixIndex().Add(w.request.Blocks)
	s.addPlaced(e, p)
	m.queue.Charge(w.job.Account.Name(), w.expected)
	s.accountOf(w).add(w.expected)
	m.rate.record(now)
	s.stats.placed.Inc(1)
	s.stats.wait.Update(now.Sub(entry.At()))
	s.record(now, journal.Routed, w.job, e.Server().Name(), "waited "+now.Sub(entry.At()).String())
	w.decide(result{placement: p})
	return p
}

// end releases what place reserved.
func (s *Scheduler) end(p *Placement, how Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	invariant.Check(!p.ended, "end-once", "generation on %s ended twice", p.server.Name())
	p.ended = true
	now := s.Clock.Now()
	w := p.waiter
	s.recordOutcome(p, how, now)
	p.engine.Remove(p.stream, now)
	if p.lender != "" {
		s.spawn(func() { s.Lender.Return(p.lender, p.loan) })
	}
	s.removePlaced(p)
	actual := float64(w.request.PromptTokens + p.stream.Produced())
	if m := s.models[w.key.Model]; m != nil {
		m.queue.Charge(w.job.Account.Name(), actual-w.expected)
	}
	s.accountOf(w).add(-w.expected)
	s.releaseHold(w.job.Account.Name())
	s.dispatch(now, p.engine)
}

// addPlaced and removePlaced track the placements of each engine that has any.
func (s *Scheduler) addPlaced(e *route.Engine, p *Placement) {
	if s.placed[e] == nil {
		s.placed[e] = make(map[*Placement]struct{})
	}
	s.placed[e][p] = struct{}{}
}

func (s *Scheduler) removePlaced(p *Placement) {
	delete(s.placed[p.engine], p)
	if len(s.placed[p.engine]) == 0 {
		delete(s.placed, p.engine)
	}
}

// recordOutcome updates the length forecast and the engine's health by how a generation ended.
func (s *Scheduler) recordOutcome(p *Placement, how Outcome, now time.Time) {
	name := p.server.Name()
	switch how {
	case Finished:
		s.book.Observe(p.waiter.key, p.stream.Produced())
		if p.engine.Succeed(now) {
			s.record(now, journal.Readmitted, nil, name, "a generation ended well")
		}
	case Failed, Declined:
		if p.engine.Fail(now) {
			s.stats.ejected.Inc(1)
			s.record(now, journal.Ejected, nil, name, "failures in a row")
		}
	case Cancelled:
	}
}

// typicalCurve returns the length curve of the first model of an engine.
func (s *Scheduler) typicalCurve(e *route.Engine) *outputlength.SurvivalCurve {
	models := e.Server().Models()
	if len(models) == 0 {
		return outputlength.Prior()
	}
	return s.book.Curve(outputlength.Key{Model: models[0]})
}
