package accountshare

import "encoding/binary"

const (
	// tag is the first byte of a note, which tells it from notes of other packages. No change of a
	// view begins with it: those are arrays in msgpack, from 0x90 on.
	tag = 0xc2
	// entryBytes is the length of an account in a note, in bytes: its key and what it took.
	entryBytes = 4 + 2
	// unit is the unit of a note, in tokens: a sixth of what an account must have taken to count.
	unit = 16
	// mostUnits is the most that a note can say of an account: a million tokens.
	mostUnits = 0xffff
	// mostTold bounds the accounts of a note, which fits into a datagram with them: 1.5 KB.
	mostTold = 256
)

// entry is what a note says of one account.
type entry struct {
	key    uint32
	tokens int
}

// IsNote reports whether a note is one of this package.
func IsNote(note []byte) bool { return len(note) > 0 && note[0] == tag }

// encode returns the note of what accounts took.
func encode(taken map[uint32]int) []byte {
	note := make([]byte, 1, 1+entryBytes*len(taken))
	note[0] = tag
	for key, tokens := range taken {
		note = binary.BigEndian.AppendUint32(note, key)
		note = binary.BigEndian.AppendUint16(note, uint16(min((tokens+unit-1)/unit, mostUnits)))
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
			key:    binary.BigEndian.Uint32(note),
			tokens: int(binary.BigEndian.Uint16(note[4:])) * unit,
		})
	}
	return list, true
}
