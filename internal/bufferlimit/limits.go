// Package bufferlimit counts the bytes that a box buffers for callers and servers that read slowly,
// and drops the slowest callers when there are too many.
//
// A box opens a Connection for each connection and counts in it what it buffers. At a bound the
// slowest connection is dropped, so that the others go on; a stalled one is dropped below the
// bounds too.
//
// Invariants: the total is the sum over all connections, and that of a client account the sum over
// its connections; a dropped connection gets one error, with the bound it was dropped for; a wait
// for capacity ends.
package bufferlimit

import "time"

const (
	// accountDivisor divides the bound of a box into that of one client account: half, so that an
	// account whose callers don't read leaves as much to all others.
	accountDivisor = 2
	// connectionDivisor divides the bound of an account into that of one connection: a quarter. On
	// the smallest boxes that is still three times the largest answer that is buffered whole.
	connectionDivisor = 4
	// maxUnreadAtServers bounds what all servers together hold for a box that doesn't read on, in
	// bytes. With 300 boxes and 45 servers that is 7 MB at each, little compared to a server's own
	// memory use.
	maxUnreadAtServers = 1 << 20
	// defaultMemory is the memory assumed for a box whose settings don't state it, in bytes: a
	// medium box.
	defaultMemory = 256 << 20
)

const (
	// slowAfter is the time without progress after which a caller may be dropped for others: on a
	// healthy network path, callers that read take bytes every few milliseconds.
	slowAfter = 100 * time.Millisecond
	// stalledAfter is the time without any progress after which a caller with buffered bytes is
	// dropped: longer than a path failure that TCP survives. Callers of streams have given up long
	// before.
	stalledAfter = 15 * time.Second
	// maxAnswerWait is how long an answer is left unread at its server for lack of capacity:
	// servers cut off an answer that stays unread for some seconds.
	maxAnswerWait = 2 * time.Second
	// maxBodyWait is how long a request's body waits for capacity: dropped connections free their
	// bytes within some milliseconds, and after that another box is the better choice.
	maxBodyWait = 50 * time.Millisecond
	// slowCheckInterval is how often a wait for capacity checks for callers that have become slow.
	slowCheckInterval = 50 * time.Millisecond
	// sweepInterval is how often stalled callers are searched for: well below stalledAfter.
	sweepInterval = time.Second
)

// Limits bound the buffered bytes; 0 is no bound.
type Limits struct {
	// Box bounds the sum over all connections, Account that over one client account, Connection a
	// single connection.
	Box, Account, Connection int64
	// Servers bounds what servers hold of answers that the box doesn't read on.
	Servers int64
}

// LimitsOf returns the limits of a box that may use a share of its memory, in bytes, for buffers.
// Memory 0 is unknown; share 0 is no bound.
func LimitsOf(memory int64, share float64) Limits {
	if share <= 0 {
		return Limits{}
	}
	if memory <= 0 {
		memory = defaultMemory
	}
	boxLimit := int64(share * float64(memory))
	return Limits{
		Box: boxLimit, Account: boxLimit / accountDivisor, Connection: boxLimit / accountDivisor / connectionDivisor,
		Servers: maxUnreadAtServers,
	}
}
