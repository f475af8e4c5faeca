// Package prefix hashes prompt prefixes, so that prompts with a common prefix can be sent to an
// engine that has it cached.
package prefix

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// BlockBytes is the length of a block, the unit of comparison.
	BlockBytes = 256
	// maxBlocks bounds the work for a long prompt.
	maxBlocks = 64
)

// BlockHashes returns a running hash after each whole block of the prompt: equal hashes mean equal
// prefixes. It covers the first maxBlocks blocks.
func BlockHashes(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// Index is an LRU set of the prefix blocks that were sent to one engine.
type Index struct {
	blocks *lru.Cache[uint64, struct{}]
}

// NewIndex returns an Index of at most size blocks; size is positive.
func NewIndex(size int) *Index {
	// lru.New only fails for a size below 1.
	blocks, _ := lru.New[uint64, struct{}](max(size, 1))
	return &Index{blocks: blocks}
}

// Add records the blocks of a prompt.
func (s *Index) Add(blocks []uint64) {
	for _, b := range blocks {
		s.blocks.Add(b, struct{}{})
	}
}

// MatchedBytes returns the length of the prompt's prefix that was sent before.
func (s *Index) MatchedBytes(blocks []uint64) int {
	for i, b := range blocks {
		if !s.blocks.Contains(b) {
			return i * BlockBytes
		}
	}
	return len(blocks) * BlockBytes
}
