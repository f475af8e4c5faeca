package loadrun

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request and when it is due, from the start of the run. The times
// do not depend on answers: a slow system does not slow the callers.
type arrival struct {
	at      time.Duration
	id      int
	kind    *kind
	length  int
	lookup  bool
	push    bool
	account string
}

// arrivals draws the requests of a run.
func (w *workload) arrivals(seed uint64, rate float64, duration time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	out = w.addGenerations(out, r, rate, duration, nil)
	if w.flooder != "" {
		for i := range w.kinds {
			if k := &w.kinds[i]; k.account == w.flooder {
				out = w.addGenerations(out, r, rate*k.share*(w.flood-1), duration, k)
			}
		}
	}
	out = w.addLookups(out, r, duration)
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range out {
		out[i].id = i
	}
	return out
}

// addGenerations adds generations at a rate, of one kind or of all.
func (w *workload) addGenerations(out []arrival, r *rand.Rand, rate float64, duration time.Duration, only *kind) []arrival {
	if rate <= 0 {
		return out
	}
	for at := exponential(r, rate); at < duration; at += exponential(r, rate) {
		k := only
		if k == nil {
			k = w.draw(r)
		}
		by := 1.0
		if w.shiftAt > 0 && at > time.Duration(w.shiftAt*float64(duration)) {
			by = w.shiftBy
		}
		out = append(out, arrival{at: at, kind: k, length: k.length(r, by), account: k.account})
	}
	return out
}

func (w *workload) addLookups(out []arrival, r *rand.Rand, duration time.Duration) []arrival {
	if w.lookups <= 0 {
		return out
	}
	for at := exponential(r, w.lookups); at < duration; at += exponential(r, w.lookups) {
		push := r.Float64() < w.pushes/w.lookups
		out = append(out, arrival{at: at, lookup: true, push: push, account: w.accounts[0].name})
	}
	return out
}

// exponential draws the time to the next of independent arrivals.
func exponential(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}
