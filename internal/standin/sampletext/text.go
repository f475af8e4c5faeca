// Package sampletext gives the text that an engine stand-in generates.
//
// Text and length depend on the prompt alone, so that any reader of a stream can
// tell whether each token is the right one of its own answer.
package sampletext

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	medianLength = 120
	lengthSigma  = 0.7
	maxLength    = 4000
	bytesPerTok  = 4
)

// marker lets a workload choose the length of an answer: "length=120".
var marker = regexp.MustCompile(`\blength=(\d{1,6})\b`)

// words is the vocabulary of the stand-in.
var words = strings.Fields(`the rate for room night guest arrival desk notice please confirm
	vent open mist close house humidity strawberry tomato setpoint alarm summary shift
	sensor log value above below after before change new hold release booking site`)

// Seed returns the seed of a prompt's text.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the text of the token at offset, which begins at 1.
func Token(seed, offset uint64) string {
	r := rand.NewPCG(seed, offset)
	return " " + words[r.Uint64()%uint64(len(words))]
}

// Text returns the first n tokens in one string.
func Text(seed uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(seed, uint64(i)+1))
	}
	return b.String()
}

// Length returns how many tokens the answer to a prompt has.
func Length(prompt string) int {
	if m := marker.FindStringSubmatch(prompt); m != nil {
		n, err := strconv.Atoi(m[1])
		if err == nil && n > 0 {
			return n
		}
	}
	r := rand.New(rand.NewPCG(Seed(prompt), 0))
	n := int(medianLength * math.Exp(lengthSigma*r.NormFloat64()))
	return min(max(n, 1), maxLength)
}

// PromptTokens returns the number of tokens of a prompt: four bytes a token.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerTok-1)/bytesPerTok)
}

// BlockHashes returns a running hash after each whole block of the prompt, so
// that equal hashes mean equal prefixes.
func BlockHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerTok
	hashes := make([]uint64, 0, len(prompt)/size)
	d := xxhash.New()
	for end := size; end <= len(prompt); end += size {
		_, _ = d.WriteString(prompt[end-size : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
