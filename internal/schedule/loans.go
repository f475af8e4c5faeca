package schedule

import (
	"time"

	"github.com/dalebend/dalebend/internal/fairqueue"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/route"
)

const (
	// borrowDelay is how long a job waits before other boxes are asked for a loan.
	borrowDelay = 30 * time.Millisecond
	// After each refusal the interval between two asks doubles, up to maxAskInterval: under
	// overload no box has capacity, and asking must not become a load of its own.
	minAskInterval = 10 * time.Millisecond
	maxAskInterval = 320 * time.Millisecond
	// maxLoanAge is how long a loan is kept if its borrower, which may have died, doesn't return
	// it; until then the engine's own report corrects the error.
	maxLoanAge = 2 * time.Minute
)

// LoanRequest asks another box for capacity on one of its engines.
type LoanRequest struct {
	Model        string
	Account      string
	Kind         string
	Priority     int
	PromptTokens int
	MaxTokens    int
	// Blocks identify the prefixes of the prompt, see package prefix.
	Blocks []uint64
}

// Loan is granted capacity: the engine, and the id to return it by.
type Loan struct {
	Server string
	ID     uint64
}

// lender calls other boxes.
type lender interface {
	Ask(box string, r *LoanRequest) (l Loan, ok bool)
	Return(box string, id uint64)
}

// lent is a loan that this box granted.
type lent struct {
	engine *route.Engine
	stream *occupancy.Stream
	at     time.Time
}

// borrowState tracks the asks for a model.
type borrowState struct {
	asking bool
	next   time.Time
	pause  time.Duration
}

// borrow asks one random other box for capacity for the next job.
func (s *Scheduler) borrow(now time.Time, m *modelState, entry *fairqueue.Entry[*waiter]) {
	b := &m.borrowing
	if s.Lender == nil || len(s.boxes) < 2 || b.asking || now.Before(b.next) || now.Sub(entry.At()) < borrowDelay {
		return
	}
	box := s.boxes[s.rng.IntN(len(s.boxes))]
	if box == s.Box {
		return
	}
	w := entry.Value()
	r := &LoanRequest{
		Model: w.key.Model, Account: w.key.Account, Kind: w.key.Kind, Priority: w.job.Account.Priority(),
		PromptTokens: w.request.PromptTokens, MaxTokens: w.job.MaxTokens, Blocks: w.request.Blocks,
	}
	b.asking = true
	s.stats.asked.Inc(1)
	s.spawn(func() {
		l, ok := s.Lender.Ask(box, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handleAnswer(m, entry, box, l, ok)
	})
}

// handleAnswer uses granted capacity for the job that it was asked for, or returns it.
func (s *Scheduler) handleAnswer(m *modelState, entry *fairqueue.Entry[*waiter], box string, l Loan, ok bool) {
	now := s.Clock.Now()
	m.borrowing.asking = false
	if !ok {
		m.borrowing.pause = min(max(2*m.borrowing.pause, minAskInterval), maxAskInterval)
		m.borrowing.next = now.Add(m.borrowing.pause)
		return
	}
	m.borrowing.pause = 0
	e := s.engines[l.Server]
	if entry.Value().decided || e == nil || e.Draining() {
		s.spawn(func() { s.Lender.Return(box, l.ID) })
		return
	}
	s.stats.borrowed.Inc(1)
	m.queue.Pick(entry)
	p := s.place(now, m, entry, e)
	p.lender, p.loan = box, l.ID
	s.dispatch(now, nil)
}

// Lend grants another box capacity on one of this box's engines, unless a job of this box with the
// same or a higher priority is waiting.
func (s *Scheduler) Lend(r *LoanRequest) (Loan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[r.Model]
	if m == nil || s.stopped {
		return Loan{}, false
	}
	if head, ok := m.queue.PeekStrict(); ok && head.Value().job.Account.Priority() <= r.Priority {
		return Loan{}, false
	}
	now := s.Clock.Now()
	curve := s.book.Curve(outputlength.Key{Model: r.Model, Account: r.Account, Kind: r.Kind})
	stream := occupancy.NewStream(occupancy.StreamConfig{
		Curve: curve, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Priority: r.Priority, Remote: true, Started: now,
	})
	v := s.view(m, m.dealtEngines, now)
	v.Terms = s.terms(now, r.Priority)
	e, ok := s.Policy.Choose(&route.Request{
		Stream: stream, Blocks: r.Blocks, PromptTokens: r.PromptTokens, Expected: curve.Mean(),
	}, v)
	if !ok {
		return Loan{}, false
	}
	e.Add(stream, now)
	e.PrefixIndex().Add(r.Blocks)
	s.lastLoan++
	s.loans[s.lastLoan] = &lent{engine: e, stream: stream, at: now}
	s.stats.lent.Inc(1)
	s.record(now, journal.Lent, nil, e.Server().Name(), "to another box, for "+r.Account)
	return Loan{Server: e.Server().Name(), ID: s.lastLoan}, true
}

// Returned ends a loan that its borrower returns.
func (s *Scheduler) Returned(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loans[id]
	if l == nil {
		return
	}
	s.endLoan(id, l, s.Clock.Now())
}

func (s *Scheduler) endLoan(id uint64, l *lent, now time.Time) {
	delete(s.loans, id)
	l.engine.Remove(l.stream, now)
	s.dispatch(now, l.engine)
}

// expireLoans ends loans older than maxLoanAge.
func (s *Scheduler) expireLoans(now time.Time) {
	for id, l := range s.loans {
		if now.Sub(l.at) >= maxLoanAge {
			s.endLoan(id, l, now)
		}
	}
}
