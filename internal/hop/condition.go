package hop

import "time"

// Condition is what an answer says of its server itself, apart from the request. A word that it
// does not say, or that cannot be read, is the zero value.
type Condition struct {
	// Limit is the rate that the server takes.
	Limit Limit
	// Leaving is set if the server is about to end and wants no new requests.
	Leaving bool
	// HoldOff is how long the server wants nothing from the box that it gave the answer; it has
	// turned the request away.
	HoldOff time.Duration
	// Unreadable are the words that cannot be read. Nothing follows from them.
	Unreadable []Unreadable
}

// Limit is what an answer says of the rate that its server takes.
type Limit struct {
	// Named is set if the answer names a limit; PerSecond is the most requests a second that the
	// server takes from all boxes together.
	Named     bool
	PerSecond float64
}

// Word is a kind of what a server says of itself.
type Word string

// What servers say of themselves in their answers.
const (
	WordLimit   Word = "limit"
	WordLeaving Word = "leaving"
	WordHoldOff Word = "hold-off"
)

// Unreadable is a word that cannot be read, and why.
type Unreadable struct {
	Word Word
	Err  error
}

// Unread reports whether a word is there and cannot be read.
func (c *Condition) Unread(w Word) bool {
	for _, u := range c.Unreadable {
		if u.Word == w {
			return true
		}
	}
	return false
}

// IsZero reports whether the answer says nothing of its server.
func (c *Condition) IsZero() bool {
	return !c.Limit.Named && !c.Leaving && c.HoldOff == 0 && len(c.Unreadable) == 0
}
