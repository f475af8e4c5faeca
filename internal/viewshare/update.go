package viewshare

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// errMismatch means that changes do not lead from the held view to the sender's.
var errMismatch = errors.New("changes do not fit the view")

// update is an encoded view: the changes since another one, or all entries.
type update struct {
	// Base is the revision that the changes are based on; 0 is an empty view.
	Base     storerev.Revision
	Revision storerev.Revision
	// Changes lead from the base to the view.
	Changes []registry.Change
	// Checksum is that of the whole view.
	Checksum uint64
	// Part is the number of this part, from 0, and Parts the number of parts; both are 0 for an
	// undivided change.
	Part, Parts int

	// from is the box that sent it, if known; it is not encoded.
	from string
}

// newUpdate returns the update from a revision in the log, or from an empty view if base is 0.
func newUpdate(log *changeLog, sums *checksums, view *registry.View, base storerev.Revision) (*update, error) {
	var changes []registry.Change
	if base == 0 {
		changes = difference(&registry.View{}, view)
	} else {
		changes = log.since(base)
	}
	sum, err := sums.of(view)
	if err != nil {
		return nil, err
	}
	return &update{Base: base, Revision: view.Revision, Changes: changes, Checksum: sum}, nil
}

// apply returns the view that results from an update. held may be nil.
func (u *update) apply(held *registry.View, sums *checksums) (registry.View, error) {
	var base registry.View
	if u.Base != 0 {
		if held == nil || held.Revision != u.Base {
			return registry.View{}, fmt.Errorf("%w: they begin at revision %v", errMismatch, u.Base)
		}
		base = *held
	}
	view := base.With(u.Changes, u.Revision)
	sum, err := sums.of(&view)
	if err != nil {
		return registry.View{}, err
	}
	if sum != u.Checksum {
		return registry.View{}, fmt.Errorf("%w: wrong checksum at revision %v", errMismatch, u.Revision)
	}
	return view, nil
}

// encode encodes values as arrays without field names.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode view: %w", err)
	}
	return buf.Bytes(), nil
}

func decode(data []byte) (*update, error) {
	u := &update{}
	if err := msgpack.Unmarshal(data, u); err != nil {
		return nil, fmt.Errorf("decode view: %w", err)
	}
	return u, nil
}
