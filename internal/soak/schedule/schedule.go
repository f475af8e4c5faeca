// Package schedule draws what a soak does, and when, from a seed.
package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// lead is the time before the first act: boxes have found each other.
	lead = time.Second
	// leastLasts and mostLasts bound how long an act lasts: from a moment to more
	// than the time in which a box out of touch is noticed.
	leastLasts = 100 * time.Millisecond
	mostLasts  = 2500 * time.Millisecond
	// leastRate and moreRate bound how many series begin in a second, for each box: at
	// the most every box is struck several times in a short run, at the least most of
	// them are left alone for longer than it takes to be in touch again.
	leastRate = 0.05
	moreRate  = 0.35
	// steadyEvery is how often planned work happens in each run: boxes that are left
	// alone must follow, and faults meet it.
	steadyEvery = 1200 * time.Millisecond
	// seriesMost is the most acts that strike one target one into the other, and
	// seriesGap the longest pause between their beginnings.
	seriesMost = 4
	seriesGap  = 800 * time.Millisecond
	// leastFamilies and moreFamilies bound how many families a seed mixes: with few,
	// promises that bind only what is left alone are looked at as well.
	leastFamilies = 1
	moreFamilies  = 4
	// mostNumber is the largest target or pick: a mask of 16 bits.
	mostNumber = 1<<16 - 1
	// stream is the second number of the generator's seed. Any number does; with
	// another one, seeds that are written down no longer replay.
	stream = 14
	// restartStream is that of the restarts of servers, which are drawn apart so that the
	// other acts of a seed stay as they are.
	restartStream = 15
	// restartEvery is the time for each restart when a run has the most, and restartLasts
	// the longest time that one takes: a short while, so that boxes have work for the
	// server on both sides of it.
	restartEvery = time.Second
	restartLasts = 300 * time.Millisecond
	// limitStream is that of the limits that servers name, which are drawn apart as well, and
	// limitLasts the least time for which they do: boxes are held to a limit from 3 s on.
	limitStream = 16
	limitLasts  = 5 * time.Second
	// limitsIn is of how many seeds all but one have limits, wordsIn the same of the other words.
	limitsIn = 2
	wordsIn  = 4
	// leaveStream and holdOffStream are those of servers that leave unheard or ask boxes to hold off,
	// and wordLasts the least time for which they do.
	leaveStream   = 17
	holdOffStream = 18
	wordLasts     = 4 * time.Second
	// isolateStream is that of boxes that are cut off from all servers, isolateIn of how many seeds all but
	// one have them, and isolateLasts the least time for which they are: they are bound from 3 s on.
	isolateStream = 19
	isolateIn     = 3
	isolateLasts  = 5 * time.Second
	// hugeStream is that of servers that state huge sizes and slowStream that of engines that turn slow, which
	// last for burstLasts at least, in all but one of burstIn seeds.
	hugeStream = 20
	slowStream = 21
	burstIn    = 3
	burstLasts = 2 * time.Second
	// cutStream is that of servers that stop in heads, and endlessStream that of answers without end, which last
	// for as long.
	cutStream     = 30
	endlessStream = 31
	// oddStream is that of odd entries in the store's lists, oddIn of how many seeds all but one have them, and
	// oddLasts the least time for which they are there.
	oddStream = 22
	oddIn     = 3
	oddLasts  = 5 * time.Second
	// unheardStream is that of boxes that are cut off from the store or paused as a server leaves, which lasts for
	// unheardLasts at least, in all but one of unheardIn seeds, and not before the boxes are in touch.
	unheardStream = 23
	unheardIn     = 4
	unheardLasts  = 2500 * time.Millisecond
	unheardLead   = 4500 * time.Millisecond
	// returnStream is that of returns of the store from an older copy, which loses the changes of returnLasts at least, in
	// all but one of returnIn seeds; returnRest is left for what follows from it.
	returnStream = 32
	returnIn     = 4
	returnLasts  = 800 * time.Millisecond
	returnMost   = 2500 * time.Millisecond
	returnRest   = 3 * time.Second
	// restartRest is left after a restart for what follows from it.
	restartRest = time.Second
)

// Act is one disturbance.
type Act struct {
	// At is when it begins, since the first could, and Lasts how long it lasts.
	At    time.Duration
	Lasts time.Duration
	Kind  history.Kind
	// Target is the number of a box or of a server's slot, modulo how many there are.
	Target int
	// Pick chooses among the ways in which a kind can strike.
	Pick int
}

// Draw draws the acts of a run with a number of boxes, in their order. All are over
// by the duration.
func Draw(seed uint64, boxes int, duration time.Duration) []Act {
	rng := rand.New(rand.NewPCG(seed, stream))
	chosen := choose(rng)
	rate := leastRate + moreRate*rng.Float64()
	acts := steady(rng, duration)
	for range 1 + int(rate*float64(boxes)*duration.Seconds()) {
		acts = append(acts, series(rng, chosen, duration)...)
	}
	acts = append(acts, restarts(seed, duration)...)
	acts = append(acts, limits(seed, duration)...)
	acts = append(acts, words(seed, duration)...)
	acts = append(acts, word(seed, hugeStream, burstIn, ServerStatesHuge, burstLasts, duration)...)
	acts = append(acts, word(seed, cutStream, burstIn, ServerCutsHeads, burstLasts, duration)...)
	acts = append(acts, word(seed, endlessStream, burstIn, ServerEndless, burstLasts, duration)...)
	acts = append(acts, word(seed, slowStream, burstIn, EnginesSlow, burstLasts, duration)...)
	acts = append(acts, word(seed, isolateStream, isolateIn, BoxesIsolated, isolateLasts, duration)...)
	acts = append(acts, word(seed, oddStream, oddIn, OddEntries, oddLasts, duration)...)
	acts = append(acts, unheard(seed, duration)...)
	acts = append(acts, returns(seed, duration)...)
	slices.SortStableFunc(acts, func(a, b Act) int { return int(a.At - b.At) })
	return acts
}

// DrawCalm draws the acts of a run in which little is disturbed, so that promises with a bound on time bind most boxes:
// planned work, servers that leave unheard, and a store that comes back from an older copy.
func DrawCalm(seed uint64, duration time.Duration) []Act {
	rng := rand.New(rand.NewPCG(seed, stream))
	acts := append(steady(rng, duration), unheard(seed, duration)...)
	acts = append(acts, returns(seed, duration)...)
	slices.SortStableFunc(acts, func(a, b Act) int { return int(a.At - b.At) })
	return acts
}

// choose draws the families of a run.
func choose(rng *rand.Rand) []family {
	all := families()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:leastFamilies+rng.IntN(moreFamilies)]
}

// steady draws planned work.
func steady(rng *rand.Rand, duration time.Duration) []Act {
	kinds := family{ConfigChanges, ConfigChanges, ServerDrains, ServerVanishes, BoxStop}
	var acts []Act
	for at := between(rng, 0, steadyEvery); at < duration; at += between(rng, 0, 2*steadyEvery) {
		acts = append(acts, Act{At: at, Kind: kinds[rng.IntN(len(kinds))], Target: rng.Int() & mostNumber, Pick: rng.Int() & mostNumber})
	}
	return acts
}

// series draws acts that strike one target.
func series(rng *rand.Rand, chosen []family, duration time.Duration) []Act {
	target := rng.Int() & mostNumber
	at := between(rng, lead, duration-leastLasts)
	var acts []Act
	for range 1 + rng.IntN(seriesMost) {
		kinds := chosen[rng.IntN(len(chosen))]
		a := Act{At: at, Kind: kinds[rng.IntN(len(kinds))], Target: target, Pick: rng.Int() & mostNumber}
		a.Lasts = min(between(rng, leastLasts, mostLasts), duration-at)
		acts = append(acts, a)
		if at += between(rng, 0, seriesGap); at >= duration {
			break
		}
	}
	return acts
}

// restarts draws when servers start again under their ids; every other seed has none.
func restarts(seed uint64, duration time.Duration) []Act {
	rng := rand.New(rand.NewPCG(seed, restartStream))
	if rng.IntN(2) == 0 {
		return nil
	}
	acts := make([]Act, 1+rng.IntN(1+int(duration/restartEvery)))
	for i := range acts {
		at := between(rng, lead, duration-restartLasts-restartRest)
		acts[i] = Act{
			At: at, Lasts: min(between(rng, leastLasts, restartLasts), max(0, duration-at)),
			Kind: ServerRestarts, Target: rng.Int() & mostNumber,
		}
	}
	return acts
}

// limits draws when servers name a limit.
func limits(seed uint64, duration time.Duration) []Act {
	return word(seed, limitStream, limitsIn, ServerLimits, limitLasts, duration)
}

// words draws when servers say otherwise of themselves what they want.
func words(seed uint64, duration time.Duration) []Act {
	return append(word(seed, leaveStream, wordsIn, ServerLeavesUnheard, wordLasts, duration),
		word(seed, holdOffStream, wordsIn, ServerHoldsOff, wordLasts, duration)...)
}

// unheard draws when boxes do not hear of servers that leave, for one of two reasons: they would excuse each other.
func unheard(seed uint64, duration time.Duration) []Act {
	kind := BoxesSleep
	if seed%2 == 0 {
		kind = FollowersCut
	}
	acts := word(seed, unheardStream, unheardIn, kind, unheardLasts, duration-unheardLead+lead)
	for i := range acts {
		acts[i].At += unheardLead - lead
	}
	return acts
}

// returns draws when the store comes back from an older copy.
func returns(seed uint64, duration time.Duration) []Act {
	acts := word(seed, returnStream, returnIn, StoreReturns, returnLasts, duration-returnRest)
	for i := range acts {
		acts[i].Lasts = min(acts[i].Lasts, returnMost)
	}
	return acts
}

// word draws when servers say something of themselves, or boxes are cut off, for a least time: once in all seeds but one of some, if the
// run is long enough.
func word(seed, stream uint64, of int, kind history.Kind, least, duration time.Duration) []Act {
	rng := rand.New(rand.NewPCG(seed, stream))
	if rng.IntN(of) == 0 || duration < lead+least {
		return nil
	}
	at := between(rng, lead, duration-least)
	return []Act{{
		At: at, Lasts: between(rng, least, duration-at), Kind: kind,
		Target: rng.Int() & mostNumber, Pick: rng.Int() & mostNumber,
	}}
}

// between draws a time from one to another.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(max(1, int64(to-from))))
}
