package quarantine

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

const (
	// sureCrashes is how many crashes outweigh that an answer to a request with the segment began some
	// time before, or that other traits explain them as well.
	sureCrashes = 5
	// manyAccounts is under how many accounts servers must have ended for a segment to be held for all.
	manyAccounts = 3
	// retestInterval is the time after the last end from which requests with a held segment are tried
	// again, one at a time, and goodRetestInterval the same for a segment with which answers began before:
	// it may be one of a whole route. Both double with each further crash.
	retestInterval     = 10 * time.Minute
	goodRetestInterval = 10 * time.Second
)

// blame is a trait that is held for the ends of its history.
type blame struct {
	*history

	// crashes is how many of them no other held trait explains.
	crashes int
	// rivals are the traits that explain these as well.
	rivals []fingerprint.Fingerprint
}

// judge decides which traits are held: the fewest that explain the ends of the servers. The lock must
// be held.
//
// Each server ended for one reason, but a history for all requests that it ran. Traits are therefore
// taken one by one, the most suspicious first, and the ends of one that is taken don't count for the
// others any more.
func (b *Tracker) judge() {
	now := b.Clock.Now()
	var suspects []*history
	for _, t := range b.histories {
		if t.full() {
			t.unexplained = t.ends
			suspects = append(suspects, t)
		}
	}
	before := b.held
	if len(suspects) == 0 && len(before) == 0 {
		return
	}
	b.held = make(map[fingerprint.Fingerprint]*blame)
	for {
		next := mostSuspicious(suspects, now)
		if next == nil {
			break
		}
		b.held[next.fingerprint] = next
		suspects = slices.DeleteFunc(suspects, func(t *history) bool { return t == next.history })
		for _, t := range suspects {
			next.explain(t)
		}
	}
	b.logJudged(before)
}

// explain removes the ends of a held trait from what counts for a segment. For requests all ends count: to hold
// one too many costs its own callers only.
func (s *blame) explain(t *history) {
	if !t.isSegment() {
		return
	}
	t.unexplained = slices.DeleteFunc(slices.Clone(t.unexplained), func(e End) bool { return s.endedWith(e.Server) })
}

// explained reports whether held segments explain all ends of a request. The lock must be held.
func (b *Tracker) explained(t *history) bool {
	return !slices.ContainsFunc(t.ends, func(e End) bool {
		for _, s := range b.held {
			if s.isSegment() && s.endedWith(e.Server) {
				return false
			}
		}
		return true
	})
}

// mostSuspicious returns the trait to hold next, nil if there is none.
func mostSuspicious(suspects []*history, now time.Time) *blame {
	var worst *blame
	for _, t := range suspects {
		n := t.crashes(t.unexplained)
		if n < maxEnds || t.knownGood(now) && n < sureCrashes {
			continue
		}
		if next := (&blame{history: t, crashes: n}); worst == nil || next.moreSuspiciousThan(worst, now) {
			worst = next
		}
	}
	if worst == nil {
		return nil
	}
	for _, t := range suspects {
		if t != worst.history && !t.knownGood(now) && t.explainsAllOf(worst.history) {
			worst.rivals = append(worst.rivals, t.fingerprint)
		}
	}
	return worst
}

// moreSuspiciousThan reports whether a trait is held rather than another one: no answer to a request
// with it is known, it explains more crashes, or fewer requests have it.
func (s *blame) moreSuspiciousThan(o *blame, now time.Time) bool {
	if good, otherGood := s.knownGood(now), o.knownGood(now); good != otherGood {
		return otherGood
	}
	if s.crashes != o.crashes {
		return s.crashes > o.crashes
	}
	if s.isSegment() != o.isSegment() {
		return o.isSegment()
	}
	if s.position != o.position {
		return s.position > o.position
	}
	return s.fingerprint < o.fingerprint
}

// explainsAllOf reports whether all unexplained ends of another history are in this one too.
func (t *history) explainsAllOf(o *history) bool {
	return !slices.ContainsFunc(o.unexplained, func(e End) bool { return !t.endedWith(e.Server) })
}

// refuses reports whether a request with the held trait gets no server. Otherwise one such request at
// a time is tried: if its account had no part in the crashes, if another trait that it does not have
// explains them too, if answers with the trait began before, or if the last crash was long ago.
func (s *blame) refuses(q *Subject, now time.Time) bool {
	if !s.isSegment() {
		return true
	}
	accounts := s.accounts()
	if len(accounts) < manyAccounts && !slices.Contains(accounts, q.Account) {
		return false
	}
	if now.Sub(s.last()) >= s.retestAfter(now) {
		return false
	}
	return s.crashes >= sureCrashes || !s.knownGood(now) && !slices.ContainsFunc(s.rivals, func(f fingerprint.Fingerprint) bool { return !q.has(f) })
}

// retestAfter returns the time after the last end from which a request with the held segment is tried.
func (s *blame) retestAfter(now time.Time) time.Duration {
	if s.knownGood(now) {
		return goodRetestInterval << max(0, s.crashes-sureCrashes)
	}
	return retestInterval << max(0, s.crashes-maxEnds)
}

// examine returns the refusal of a request that no server gets, or the histories for which it must be
// the only one that is tried. The lock must be held.
func (b *Tracker) examine(q *Subject, now time.Time) (refused *RefusedError, trial []*history) {
	add := func(f fingerprint.Fingerprint) bool {
		if s := b.held[f]; s != nil {
			if s.refuses(q, now) {
				refused = s.refused(0)
				return false
			}
			trial = append(trial, s.history)
		} else if t := b.histories[f]; t != nil && !t.isSegment() && !b.explained(t) {
			trial = append(trial, t)
		}
		return true
	}
	if add(q.Fingerprint) {
		q.segments(func(_ int, f fingerprint.Fingerprint) bool { return add(f) })
	}
	return refused, trial
}
