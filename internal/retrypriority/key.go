package retrypriority

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key returns a hash that identifies all attempts of a request at all boxes, from its account,
// route, own part of the prompt and prompt length. It is 0, which means no key, for a request that
// names no own part.
func Key(account, route, part string, promptTokens int) uint64 {
	if part == "" {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{account, route, part} {
		_, _ = h.WriteString(s)
		// Strings of a request contain no zero byte, so the separator keeps them apart.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(promptTokens)))
	return h.Sum64()
}
