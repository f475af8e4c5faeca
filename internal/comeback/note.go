package comeback

import (
	"encoding/binary"
	"time"
)

const (
	// tag is the first byte of a note, which tells it from notes of other packages. No change of a
	// view begins with it: those are arrays in msgpack, from 0x90 on.
	tag = 0xc1
	// entryBytes is the length of a caller in a note, in bytes: its key and the time left.
	entryBytes = 8 + 2
	// unit is the unit of the time left in a note: fine beside the slack of a return.
	unit = 10 * time.Millisecond
	// longest is the longest time left that a note can say: eleven minutes.
	longest = 0xffff * unit
)

// entry is what a note says of one caller.
type entry struct {
	key uint64
	// left is how much longer it is known; 0 says that it has come back.
	left time.Duration
}

// IsNote reports whether a note is one of this package.
func IsNote(note []byte) bool { return len(note) > 0 && note[0] == tag }

// encode returns the note that tells of some callers.
func encode(list []entry) []byte {
	note := make([]byte, 1, 1+entryBytes*len(list))
	note[0] = tag
	for _, e := range list {
		note = binary.BigEndian.AppendUint64(note, e.key)
		note = binary.BigEndian.AppendUint16(note, uint16(min(e.left, longest)/unit))
	}
	return note
}

// decode reads a note. It reports false for anything else.
func decode(note []byte) ([]entry, bool) {
	if !IsNote(note) || (len(note)-1)%entryBytes != 0 {
		return nil, false
	}
	note = note[1:]
	list := make([]entry, 0, len(note)/entryBytes)
	for ; len(note) > 0; note = note[entryBytes:] {
		list = append(list, entry{
			key:  binary.BigEndian.Uint64(note),
			left: time.Duration(binary.BigEndian.Uint16(note[8:])) * unit,
		})
	}
	return list, true
}
