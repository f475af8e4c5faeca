package decodetime

import (
	"math"
	"time"
)

const (
	// codeStep is the ratio between the times of two codes. An error of 5% either way is small
	// against engines that differ by tens of percent, and a coarse code changes and is sent less
	// often.
	codeStep = 1.1
	// maxCode keeps a code in one byte on the wire.
	maxCode = 127
)

// encode returns the code of a time, 0 for none.
func encode(perToken time.Duration) int32 {
	if perToken <= 0 {
		return 0
	}
	steps := math.Log(float64(perToken)/float64(minPerToken)) / math.Log(codeStep)
	return int32(min(max(math.Round(steps), 0), maxCode-1)) + 1
}

// decode returns the time of a code, 0 for none.
func decode(code int32) time.Duration {
	if code <= 0 || code > maxCode {
		return 0
	}
	return min(time.Duration(float64(minPerToken)*math.Pow(codeStep, float64(code-1))), maxPerToken)
}
