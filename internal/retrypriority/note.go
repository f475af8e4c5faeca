package retrypriority

import (
	"encoding/binary"
	"time"

	"github.com/dalebend/dalebend/internal/note"
)

const (
	// entryBytes is the size of a caller in a note, in bytes: its key and the time left.
	entryBytes = 8 + 2
	// leftUnit is the resolution of the time left in a note: small compared with slack.
	leftUnit = 10 * time.Millisecond
	// maxLeft is the longest time left that a note can hold: eleven minutes.
	maxLeft = 0xffff * leftUnit
)

// entry is one caller in a note.
type entry struct {
	key uint64
	// left is how much longer the caller has priority; 0 means that it has retried.
	left time.Duration
}

// IsNote reports whether a note is for this package.
func IsNote(data []byte) bool { return note.RetryPriority.Matches(data) }

// encode encodes callers as a note.
func encode(list []entry) []byte {
	data := make([]byte, 1, 1+entryBytes*len(list))
	data[0] = byte(note.RetryPriority)
	for _, e := range list {
		data = binary.BigEndian.AppendUint64(data, e.key)
		data = binary.BigEndian.AppendUint16(data, uint16(min(e.left, maxLeft)/leftUnit))
	}
	return data
}

// decode decodes a note. It reports false if that is not possible.
func decode(data []byte) ([]entry, bool) {
	if !IsNote(data) || (len(data)-1)%entryBytes != 0 {
		return nil, false
	}
	data = data[1:]
	list := make([]entry, 0, len(data)/entryBytes)
	for ; len(data) > 0; data = data[entryBytes:] {
		list = append(list, entry{
			key:  binary.BigEndian.Uint64(data),
			left: time.Duration(binary.BigEndian.Uint16(data[8:])) * leftUnit,
		})
	}
	return list, true
}
