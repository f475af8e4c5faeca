// Package storerev orders the states of the metadata store, also across its return from an older copy.
//
// The store numbers its changes. If it comes back from an older copy, numbers are given out a second time
// for other changes, and the store counts up its era. A number alone therefore identifies no state.
package storerev

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	// numberBits is the size of the number in a Revision. At 100,000 changes a second it lasts five years.
	numberBits = 44
	// MaxNumber is the highest number of a change.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era.
	MaxEra = 1<<(63-numberBits) - 1
)

// ErrOutOfRange means that a number or an era is negative or too high.
var ErrOutOfRange = errors.New("revision of the store is out of range")

// Revision identifies a state of the store: an era, and the number of a change in it. Revisions compare as
// integers; one of a later era is higher whatever its number. The zero value means none.
//
// It is an integer, so that it can be compared by its operators and no comparison leaves the era out.
type Revision int64

// New returns the revision of a change in an era; era 0 is that of a store that states none.
func New(era, number int64) (Revision, error) {
	if era < 0 || era > MaxEra || number < 0 || number > MaxNumber {
		return 0, fmt.Errorf("%w: change %d of era %d", ErrOutOfRange, number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number of the change.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }

// EarlierEra reports whether a revision is of an earlier era than another one.
func (r Revision) EarlierEra(than Revision) bool { return r.Era() < than.Era() }

// String returns ERA/NUMBER, or only the number in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
