// Package note defines the encoding of the notes that boxes broadcast: a tag that identifies the
// package a note belongs to, followed by the content. Times in notes are ages, as the clocks of
// boxes differ.
//
// A box of a version that does not know a tag treats the note as an undecodable change of a view,
// and continues. No change of a view begins with a tag: those are arrays in msgpack, from 0x90 to
// 0x9f, 0xdc or 0xdd.
package note

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Tag is the first byte of a note.
type Tag byte

// The tags of the packages that broadcast notes.
const (
	RetryPriority Tag = 0xc1
	AccountShare  Tag = 0xc2
	Quarantine    Tag = 0xc3
	ServerLimit   Tag = 0xc4
	Departure     Tag = 0xc5
)

// Matches reports whether a note has the tag.
func (t Tag) Matches(note []byte) bool { return len(note) > 0 && note[0] == byte(t) }

// Encode encodes a value in msgpack, preceded by the tag.
func (t Tag) Encode(v any) ([]byte, error) {
	buf := bytes.NewBuffer([]byte{byte(t)})
	enc := msgpack.NewEncoder(buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode decodes the value of a note that has the tag.
func (t Tag) Decode(note []byte, v any) error { return msgpack.Unmarshal(note[1:], v) }

// AgeMs returns the time since at in milliseconds, or -1 for the zero time.
func AgeMs(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// TimeFromAge returns the time that lies an age in milliseconds, at most oldest, before now; the
// zero time for an age below 0.
func TimeFromAge(now time.Time, ageMs int64, oldest time.Duration) time.Time {
	if ageMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(ageMs, oldest.Milliseconds())) * time.Millisecond)
}
