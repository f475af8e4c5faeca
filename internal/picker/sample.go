package picker

import (
	"iter"
	"math"
	"math/rand/v2"
)

// sample yields each of count indices, in order, with probability share. Its cost grows with the
// number of indices that it yields.
func sample(count int, share float64, draw *rand.Rand) iter.Seq[int] {
	return func(yield func(int) bool) {
		skip := skipper(share, draw)
		for i := skip(); i < count; i += 1 + skip() {
			if !yield(i) {
				return
			}
		}
	}
}

// skipper returns a function that draws how many indices to skip: a geometric distribution.
func skipper(share float64, draw *rand.Rand) func() int {
	if share >= 1 {
		return func() int { return 0 }
	}
	perSkip := 1 / math.Log1p(-share)
	return func() int {
		// For a tiny share the skip may exceed the range of int.
		return int(min(math.Log(1-draw.Float64())*perSkip, math.MaxInt32))
	}
}
