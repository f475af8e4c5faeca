// Package bounds holds the figures that the promises of dalebend are stated with.
package bounds

import (
	"time"

	"github.com/dalebend/dalebend/internal/bufferlimit"
)

const (
	// MemoryMB is the memory of the smallest box.
	MemoryMB = 134
	// keptShare is small, so that a few slow callers reach the bound of their account, 1.4 MB, and
	// leaves to a connection four times the largest answer of the servers.
	keptShare = 0.02
	// readOn is what may come on top, in bytes: of events and answers that callers don't take, one
	// read or piece for each of a few connections.
	readOn = 256 << 10
)

// Bounds are the figures of one run. The zero value is of no use; see Default.
type Bounds struct {
	// Contact is how long a box must have been left alone to be in touch.
	Contact time.Duration
	// Drain is how long requests may still reach a server that is leaving.
	Drain time.Duration
	// Known is how long a new start of a server may be unknown to boxes.
	Known time.Duration
	// Apply is how long a version may take to be in force.
	Apply time.Duration
	// Rollback is how long after a version showed an older one may still show.
	Rollback time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// LostSlack is how long after its last byte a request counts as unread.
	LostSlack time.Duration
	// Recovery is how long after the last fault requests may fail.
	Recovery time.Duration
	// RetryRatio, RetryFloor and RetryWindow are the retry budget of all boxes.
	RetryRatio  float64
	RetryFloor  int
	RetryWindow time.Duration
	// KeptShare is the part of its memory that a box may keep for slow readers, KeptBytes the
	// most that it may say it kept, in bytes.
	KeptShare float64
	KeptBytes int64
	// Slack is added to each bound on time: what a busy machine may take to run
	// three processes in turn (box, proxy, server).
	Slack time.Duration
}

// Default returns the figures of the smallest deployment, but for a shorter grace
// and fewer retries, so that short runs reach them.
func Default() Bounds {
	return Bounds{
		Contact: 3 * time.Second, Drain: 2 * time.Second, Known: 300 * time.Millisecond, Apply: 2 * time.Second,
		Rollback: 250 * time.Millisecond, Grace: 6 * time.Second, LostSlack: 200 * time.Millisecond,
		Recovery: 12 * time.Second, RetryRatio: 0.2, RetryFloor: 8, RetryWindow: 10 * time.Second,
		KeptShare: keptShare, KeptBytes: bufferlimit.LimitsOf(MemoryMB<<20, keptShare).Box + readOn,
		Slack: 500 * time.Millisecond,
	}
}
