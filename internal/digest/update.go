package digest

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/storerev"
)

// Update holds the changes to the state of a box since its last digest or update. It identifies the
// box by a key, which makes it a sixth of the size, and can be applied only by boxes that have a
// digest of the same incarnation.
type Update struct {
	// Key is the IncarnationKey of the box.
	Key uint64
	// Seq rises by one with each digest or update of an incarnation.
	Seq uint64
	// ConfigVersion, ConfigEra, ViewRevision, CordonRevision, Cordoned, StoreTried, StoreReachable,
	// StoreAgeMs and Leaving are as in a digest.
	ConfigVersion  int64
	ConfigEra      int64
	ViewRevision   storerev.Revision
	CordonRevision storerev.Revision
	Cordoned       []string
	StoreTried     bool
	StoreReachable bool
	StoreAgeMs     int32
	Leaving        bool
	// Loads are those that changed. A load with only the server set has ended.
	Loads []Load
	// Troubles are the latest failures of backend servers that the box observed.
	Troubles []ServerFailure
	// Attempts replace those of the digest, if there are any.
	Attempts []Attempts
	// Forward means that relays are to forward the update; otherwise it serves them only as a
	// heartbeat.
	Forward bool
}

// IncarnationKey returns the key that identifies one incarnation of a box in bundles.
func IncarnationKey(box string, incarnation int64) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(box)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(incarnation)))
	return h.Sum64()
}

// Apply returns the state after the update. The digest must be of the same incarnation and is not
// modified.
func (u *Update) Apply(d *Digest) *Digest {
	next := *d
	next.Seq = u.Seq
	next.Join = false
	next.Members = nil
	next.ConfigVersion, next.ConfigEra = u.ConfigVersion, u.ConfigEra
	next.ViewRevision = u.ViewRevision
	next.CordonRevision = u.CordonRevision
	next.Cordoned = u.Cordoned
	next.StoreTried = u.StoreTried
	next.StoreReachable = u.StoreReachable
	next.StoreAgeMs = u.StoreAgeMs
	next.Leaving = u.Leaving
	next.Troubles = u.Troubles
	if len(u.Attempts) > 0 {
		next.Attempts = u.Attempts
	}
	if len(u.Loads) > 0 {
		next.Loads = mergeLoads(d.Loads, u.Loads)
	}
	return &next
}

// mergeLoads returns loads with the changed ones replaced and those that ended removed.
func mergeLoads(loads, changed []Load) []Load {
	next := make([]Load, 0, len(loads)+len(changed))
	for _, l := range loads {
		if !hasServer(changed, l.Server) {
			next = append(next, l)
		}
	}
	for _, l := range changed {
		if !l.empty() {
			next = append(next, l)
		}
	}
	return next
}

// Difference returns the changes from one list of loads to another: the loads that differ or are
// new, and for each that ended a load with only the server set.
func Difference(from, to []Load) []Load {
	var changed []Load
	for _, l := range to {
		if LoadFor(from, l.Server) != l {
			changed = append(changed, l)
		}
	}
	for _, l := range from {
		if !hasServer(to, l.Server) {
			changed = append(changed, Load{Server: l.Server})
		}
	}
	return changed
}

// LoadFor returns the load on a backend server, or one with only the server set if there is none.
func LoadFor(loads []Load, server string) Load {
	for i := range loads {
		if loads[i].Server == server {
			return loads[i]
		}
	}
	return Load{Server: server}
}

func hasServer(loads []Load, server string) bool {
	return slices.ContainsFunc(loads, func(l Load) bool { return l.Server == server })
}

func (l Load) empty() bool { return l == Load{Server: l.Server} }

// Config returns the version of the configuration and its era.
func (u *Update) Config() storerev.ConfigVersion {
	return storerev.ConfigVersion{Number: u.ConfigVersion, Era: u.ConfigEra}
}
