// Package lease gives one box at a time the right to send orders to a service's engines.
//
// The lease is an object in the object API. Its holder measures the term from before
// it sends the write and stops a safety margin early. Another box takes over only
// after it has seen the same version for a full term. Clock readings of different
// boxes are never compared, and the margin covers differences in clock rate. Each
// acquisition increments the fencing token (fence), which is sent with every order.
//
// Invariants: the fence rises with each new holder; Held is false from the safety
// margin before the end of the term, whether or not the store responds.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/objectapi"
)

// Kind is the object kind of leases.
const Kind = "leases"

const (
	// DefaultTerm is how long a lease is valid without renewal.
	DefaultTerm = 15 * time.Second
	// marginDivisor sets the safety margin: the term divided by this.
	marginDivisor = 5
	// renewalsPerTerm is the number of renewal attempts within a term.
	renewalsPerTerm = 3
)

// Lease is one box's handle on a lease. Set the exported fields before use. It is
// not safe for concurrent use.
type Lease struct {
	// Name is the object name of the lease.
	Name string
	// Box is the name of this box.
	Box string
	// Term is the validity without renewal; 0 means DefaultTerm. It must be equal on
	// all boxes.
	Term time.Duration
	// API stores the lease.
	API objectapi.Objects
	// Clock measures terms.
	Clock clockwork.Clock

	mark    string
	fence   uint64
	version uint64
	until   time.Time
	// seen is the last version read from another holder, first read at seenSince.
	seen      uint64
	seenSince time.Time
}

// record is the value of a lease's object.
type record struct {
	Box   string `json:"box"`
	Fence uint64 `json:"fence"`
	// Mark identifies the last write, to confirm a write whose reply was lost.
	Mark string `json:"mark"`
}

func (l *Lease) term() time.Duration {
	if l.Term == 0 {
		return DefaultTerm
	}
	return l.Term
}

// Every returns the interval at which Step should be called.
func (l *Lease) Every() time.Duration { return l.term() / (renewalsPerTerm + 1) }

// Held reports whether this box holds the lease now.
func (l *Lease) Held() bool { return l.HeldFor(0) }

// HeldFor reports whether the lease stays valid for another d. Work started now must
// end within d; a pause of the process can still delay it past the lease.
func (l *Lease) HeldFor(d time.Duration) bool { return l.Clock.Now().Add(d).Before(l.until) }

// Lapsed reports whether this box's term has ended and no other holder is known to
// have followed. Only orders whose receiver checks the fence may be sent then.
func (l *Lease) Lapsed() bool { return l.mark != "" && !l.Held() }

// Fence returns the fencing token of this box's last acquisition, 0 if it never held.
func (l *Lease) Fence() uint64 { return l.fence }

// Step renews the lease, or acquires it if its holder has stopped renewing. After an
// error the lease may still be valid; see Held.
func (l *Lease) Step() error {
	if l.mark != "" && l.Clock.Now().Before(l.until) {
		return l.write(record{Box: l.Box, Fence: l.fence}, l.version)
	}
	o, err := l.API.Get(Kind, l.Name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return l.write(record{Box: l.Box, Fence: l.fence + 1}, 0)
	}
	if err != nil {
		return fmt.Errorf("read lease %s: %w", l.Name, err)
	}
	var have record
	if err := json.Unmarshal(o.Value, &have); err != nil {
		return fmt.Errorf("read lease %s: %w", l.Name, err)
	}
	if l.mark != "" && have.Mark == l.mark {
		// No other box acquired it since this box's last write.
		return l.write(record{Box: l.Box, Fence: l.fence}, o.Version)
	}
	now := l.Clock.Now()
	if o.Version != l.seen {
		l.seen, l.seenSince = o.Version, now
		return nil
	}
	if now.Sub(l.seenSince) < l.term() {
		return nil
	}
	return l.write(record{Box: l.Box, Fence: have.Fence + 1}, o.Version)
}

// write stores r if the object still has version expect; 0 means that none exists.
func (l *Lease) write(r record, expect uint64) error {
	r.Mark = uuid.NewString()
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("write lease %s: %w", l.Name, err)
	}
	// The term is measured from before the request is sent.
	sent := l.Clock.Now()
	var version uint64
	if expect == 0 {
		version, err = l.API.Create(Kind, l.Name, value)
	} else {
		version, err = l.API.Update(Kind, l.Name, value, expect)
	}
	if errors.Is(err, objectapi.ErrUncertain) {
		version, err = l.confirmWrite(r.Mark)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		// Another box wrote the lease.
		l.mark, l.until = "", time.Time{}
		return fmt.Errorf("lease %s is another's: %w", l.Name, err)
	}
	if err != nil {
		// A current term stays valid until it ends.
		return fmt.Errorf("write lease %s: %w", l.Name, err)
	}
	invariant.Check(r.Fence >= l.fence, "fence-rises", "lease %s: fence %d after %d", l.Name, r.Fence, l.fence)
	l.mark, l.fence, l.version = r.Mark, r.Fence, version
	l.until = sent.Add(l.term() - l.term()/marginDivisor)
	return nil
}

// confirmWrite reads back whether the write with the given mark took effect.
func (l *Lease) confirmWrite(mark string) (uint64, error) {
	o, err := l.API.Get(Kind, l.Name)
	if err != nil {
		return 0, err
	}
	var have record
	if err := json.Unmarshal(o.Value, &have); err != nil {
		return 0, fmt.Errorf("read lease %s: %w", l.Name, err)
	}
	if have.Mark == mark {
		return o.Version, nil
	}
	if have.Mark == l.mark && l.mark != "" {
		// The write did not take effect; the previous one is still stored.
		return 0, objectapi.ErrUnavailable
	}
	return 0, objectapi.ErrConflict
}
