// Package admission decides whether a generation that no engine is expected to begin in time is
// sent to an engine anyway or is refused with a time to retry.
//
// It handles overload that lasts for some seconds: more load than the engines' memory and prefill
// rate can sustain, such as at the daily load peak or while a failure domain is drained. The
// excess, if sent on, waits in the engines' queues, where it can't be sent elsewhere, until it is
// late or abandoned. It also takes memory from running generations, which are preempted and
// prefilled again, and so delays later generations too.
//
// Urgent generations have priority over less urgent ones, and returning callers over new ones, by
// way of the maximum wait with which each is admitted.
//
// A box queues nothing until memory becomes free: many boxes would see the same free memory at the
// same moment and send more than the engines can sustain.
//
// Invariants: a generation that an engine could begin at once is admitted, however long its prompt
// takes; a refusal is returned at once.
package admission

import "time"

// Verdict is the decision on a generation.
type Verdict uint8

const (
	// Offer sends the generation to the engine.
	Offer Verdict = iota
	// Refuse asks the caller to retry later.
	Refuse
)

const (
	// newRatio is the part of the objective within which an engine must be expected to begin a
	// generation. The rest allows for prediction errors: one generation in ten waits for more than
	// a fifth longer than predicted, and one in a hundred for several times as long.
	newRatio = 0.75
	// returningRatio is the ratio for a returning caller, which gets no third try. A higher value
	// refuses more new callers in turn.
	returningRatio = 1.0
	// overShareRatio is the ratio for an account that used more than its share while others lack
	// capacity, and overShareReturningRatio for its returning callers, which are treated like new
	// callers of other accounts: with a higher value, its many returning callers would take the
	// capacity that others lack.
	overShareRatio          = 0.6
	overShareReturningRatio = 0.75
	// minRetryObjectives and maxRetryObjectives bound the time until a retry, in objectives. A load
	// peak lasts for some seconds, which is longer than the wait predicted at its beginning.
	minRetryObjectives = 2.0
	maxRetryObjectives = 4.0
	// maxRetryPartOfTimeLeft limits the time until a retry to this part of the caller's remaining
	// time: the rest is for the answer. No caller waits for longer, however late the retry time is.
	maxRetryPartOfTimeLeft = 1.0 / 3
	// minRetrySpread is the minimum part of the retry time over which retries are spread. With a
	// higher value, callers with little time left return during the load peak.
	minRetrySpread = 0.1
)

// Estimate is the prediction for a generation on the best engine.
type Estimate struct {
	// FirstEvent is the predicted time to its first event.
	FirstEvent time.Duration
	// Queued is set if it would have to wait for other generations or for memory.
	Queued bool
}

// Policy decides on the generations of one route. Set the exported fields before use.
type Policy struct {
	// Objective is the route's time from request to first event; 0 is none, and everything is
	// admitted.
	Objective time.Duration
	// UrgentObjective is the shortest objective of more urgent generations on the same engines; 0
	// is none. A generation with a longer objective is admitted only if the urgent ones would begin
	// in time too: it would otherwise fill the engines beyond their memory and hold it for the
	// duration of a long answer.
	UrgentObjective time.Duration
	// TimeLeft is how long the caller waits for the whole answer, from its arrival; 0 is unknown.
	TimeLeft time.Duration
	// Returning is set if the caller was refused before; it then has priority.
	Returning bool
	// OverShare is set if the account recently used more than its share; others then have priority.
	OverShare bool
}

// MaxWait returns the longest predicted wait for the first event with which a generation is
// admitted after it has waited for the given time; 0 is no bound.
func (p Policy) MaxWait(waited time.Duration) time.Duration {
	if p.Objective <= 0 {
		return 0
	}
	return max(p.maxTotalWait()-waited, 1)
}

// maxTotalWait returns the longest wait for the first event, from the caller's arrival.
func (p Policy) maxTotalWait() time.Duration {
	within := p.Objective
	if p.UrgentObjective > 0 {
		within = min(within, p.UrgentObjective)
	}
	return time.Duration(p.waitRatio() * float64(within))
}

// waitRatio returns the part of the objective within which an engine must be expected to begin a
// generation. The higher it is, the earlier the generation gets capacity that becomes free.
func (p Policy) waitRatio() float64 {
	switch {
	case p.OverShare && p.Returning:
		return overShareReturningRatio
	case p.OverShare:
		return overShareRatio
	case p.Returning:
		return returningRatio
	default:
		return newRatio
	}
}

// Decide returns the decision on a generation that has waited in this box for the given time, as
// other engines rejected it.
func (p Policy) Decide(w Estimate, waited time.Duration) Verdict {
	if p.Objective <= 0 || !w.Queued || w.FirstEvent <= p.MaxWait(waited) {
		return Offer
	}
	return Refuse
}

// RetryAfter returns when a refused caller should retry. Draw is a random number from 0 to 1 that
// spreads the callers.
func (p Policy) RetryAfter(draw float64) time.Duration {
	last := maxRetryObjectives * float64(p.Objective)
	if p.TimeLeft > 0 {
		last = min(last, maxRetryPartOfTimeLeft*float64(p.TimeLeft))
	}
	first := min(minRetryObjectives*float64(p.Objective), (1-minRetrySpread)*last)
	return time.Duration(first + (last-first)*draw)
}
