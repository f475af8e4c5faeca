package member

import "github.com/dalebend/dalebend/internal/digest"

// loadToleranceDivisor gives the part of the memory a box uses on an engine by which its reported
// load may be off. A stream grows by some tokens every few milliseconds; reported with each
// heartbeat, that growth was most of the traffic between boxes under load, and it changes no
// decision.
const loadToleranceDivisor = 16

// damped returns the loads to report: those that only grew a little since the last report stay as
// reported, and others are reported half a step ahead, so that they are right on average.
func damped(reported, now []digest.Load) []digest.Load {
	out := make([]digest.Load, 0, len(now))
	for _, l := range now {
		if old := digest.LoadFor(reported, l.Server); withinTolerance(old, l) {
			l = old
		} else {
			l = extrapolated(l)
		}
		out = append(out, l)
	}
	return out
}

// withinTolerance reports whether two loads differ by no more than one step of growth.
func withinTolerance(reported, now digest.Load) bool {
	step := reported.Tokens / loadToleranceDivisor
	off := now.Tokens - reported.Tokens
	reported.Tokens, reported.Growth = now.Tokens, now.Growth
	return reported == now && -step <= off && off <= step
}

// extrapolated returns a load as it is expected to be half a step of growth later. A load with
// pending prefill tokens does not grow yet.
func extrapolated(l digest.Load) digest.Load {
	if l.Prefill > 0 {
		return l
	}
	grown := min(l.Tokens/loadToleranceDivisor, l.Growth)
	l.Tokens += grown
	l.Growth -= grown
	return l
}
