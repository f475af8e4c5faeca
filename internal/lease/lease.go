// Package lease gives one box at a time the right to order a service's engines.
//
// The lease is an object in the object API. Its holder counts the term from before
// its request went out and stops a margin early; a taker waits a full term from its
// own first sight of the last version. So no clocks are compared, only rates of
// clocks, and the margin covers their drift. Each taking raises the fence, which
// goes along with every order.
//
// Invariants: the fence rises with each holder; Held is false from the margin before
// the term's end on, whether or not the store answers.
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

// Kind is the kind of the leases' objects.
const Kind = "leases"

const (
	// DefaultTerm is how long a lease holds without renewal.
	DefaultTerm = 15 * time.Second
	// margins is the part of a term by which the holder stops early: one in so many.
	margins = 5
	// renewals is how often a term is renewed within itself.
	renewals = 3
)

// Lease is one box's part in one lease. Set the exported fields before use. It is
// not safe for concurrent use.
type Lease struct {
	// Name is what the lease is on.
	Name string
	// Box is who takes it.
	Box string
	// Term is how long it holds; 0 takes the default. All boxes use the same.
	Term time.Duration
	// API is the object API.
	API objectapi.Objects
	// Clock gives the time.
	Clock clockwork.Clock

	mark    string
	fence   uint64
	version uint64
	until   time.Time
	// seen is the last version of another holder, since when this box sees it.
	seen      uint64
	seenSince time.Time
}

// record is the value of a lease's object.
type record struct {
	Box   string `json:"box"`
	Fence uint64 `json:"fence"`
	// Mark is that of the last write; a write whose answer was lost is found by it.
	Mark string `json:"mark"`
}

func (l *Lease) term() time.Duration {
	if l.Term == 0 {
		return DefaultTerm
	}
	return l.Term
}

// Every returns how often Step should be called.
func (l *Lease) Every() time.Duration { return l.term() / (renewals + 1) }

// Held reports whether this box holds the lease now.
func (l *Lease) Held() bool { return l.HeldFor(0) }

// HeldFor reports whether this box will hold the lease for another time, unless it
// is paused: what is started must be over by then.
func (l *Lease) HeldFor(d time.Duration) bool { return l.Clock.Now().Add(d).Before(l.until) }

// Lapsed reports whether this box held the lease last, as far as it knows, and its
// term is over: nobody else is known to have taken it. Only orders that their
// receiver checks may go out then.
func (l *Lease) Lapsed() bool { return l.mark != "" && !l.Held() }

// Fence returns the number of this box's holding; 0 before it ever held.
func (l *Lease) Fence() uint64 { return l.fence }

// Step renews the lease, or takes it when its holder is silent. It returns what
// failed; Held tells where that leaves this box.
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
		// Nobody took it while this box was silent.
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

// write writes the lease under the condition that nobody else did.
func (l *Lease) write(r record, expect uint64) error {
	r.Mark = uuid.NewString()
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("write lease %s: %w", l.Name, err)
	}
	// The term counts from before the request goes out.
	sent := l.Clock.Now()
	var version uint64
	if expect == 0 {
		version, err = l.API.Create(Kind, l.Name, value)
	} else {
		version, err = l.API.Update(Kind, l.Name, value, expect)
	}
	if errors.Is(err, objectapi.ErrUncertain) {
		version, err = l.settle(r.Mark)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		// Somebody else holds it now.
		l.mark, l.until = "", time.Time{}
		return fmt.Errorf("lease %s is another's: %w", l.Name, err)
	}
	if err != nil {
		// The old term, if there is one, runs on to its end.
		return fmt.Errorf("write lease %s: %w", l.Name, err)
	}
	invariant.Check(r.Fence >= l.fence, "fence-rises", "lease %s: fence %d after %d", l.Name, r.Fence, l.fence)
	l.mark, l.fence, l.version = r.Mark, r.Fence, version
	l.until = sent.Add(l.term() - l.term()/margins)
	return nil
}

// settle reads back whether a write with a mark took effect.
func (l *Lease) settle(mark string) (uint64, error) {
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
		// The write did not take effect; the old one stands.
		return 0, objectapi.ErrUnavailable
	}
	return 0, objectapi.ErrConflict
}
