package accountshare

import (
	"encoding/binary"

	"github.com/dalebend/dalebend/internal/note"
)

const (
	// entryBytes is the size of an account in a note, in bytes: its key and its tokens.
	entryBytes = 4 + 2
	// noteUnit is the resolution of notes, in tokens: a sixth of minTokens.
	noteUnit = 16
	// maxUnits is the largest usage of an account in a note: a million tokens.
	maxUnits = 0xffff
	// maxNoteAccounts bounds the accounts in a note, which then fits into a datagram: 1.5 KB.
	maxNoteAccounts = 256
)

// entry is the usage of one account in a note.
type entry struct {
	key    uint32
	tokens int
}

// IsNote reports whether a note is for this package.
func IsNote(data []byte) bool { return note.AccountShare.Matches(data) }

// encode encodes the usage of accounts as a note.
func encode(taken map[uint32]int) []byte {
	data := make([]byte, 1, 1+entryBytes*len(taken))
	data[0] = byte(note.AccountShare)
	for key, tokens := range taken {
		data = binary.BigEndian.AppendUint32(data, key)
		data = binary.BigEndian.AppendUint16(data, uint16(min((tokens+noteUnit-1)/noteUnit, maxUnits)))
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
			key:    binary.BigEndian.Uint32(data),
			tokens: int(binary.BigEndian.Uint16(data[4:])) * noteUnit,
		})
	}
	return list, true
}
