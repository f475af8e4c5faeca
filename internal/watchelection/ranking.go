package watchelection

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/member"
)

// rankAge is how long a computed order is used: a box's strength is received a little later than
// its name.
const rankAge = time.Second

// ranking holds the names of live boxes in order, of the fleet and of this box's failure domain.
// Immutable.
type ranking struct {
	live          []member.Box
	at            time.Time
	fleet, domain []string
}

// ranking returns the order of the live boxes. It is cached, as it is needed several times a second
// and boxes rarely change.
func (d *Election) ranking() *ranking {
	live, now := d.Live(), d.Clock.Now()
	r := d.ranked.Load()
	if r == nil || !sameList(r.live, live) || now.Sub(r.at) >= rankAge {
		r = d.rankBoxes(live, now)
		d.ranked.Store(r)
	}
	return r
}

// sameList reports whether two immutable lists are the same slice.
func sameList(a, b []member.Box) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// candidate is a box with the values that determine its rank.
type candidate struct {
	box      member.Box
	strength int32
	hash     uint64
}

// rankBoxes orders boxes by strength, as reading the server list of a large fleet takes a weak box
// seconds and most of its memory. Equal boxes are ordered by hash.
func (d *Election) rankBoxes(live []member.Box, now time.Time) *ranking {
	candidates := make([]candidate, 0, len(live))
	for _, b := range live {
		candidates = append(candidates, candidate{box: b, strength: d.strength(b.Name), hash: rank(b.Name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(b.hash, a.hash))
	})
	r := &ranking{live: live, at: now}
	for _, c := range candidates {
		r.fleet = append(r.fleet, c.box.Name)
		if c.box.Domain == d.Self.Domain {
			r.domain = append(r.domain, c.box.Name)
		}
	}
	return r
}

// strength returns the strength of a box, 0 if unknown.
func (d *Election) strength(box string) int32 {
	if box == d.Self.Name {
		return d.Strength
	}
	return d.Peers.Strength(box)
}

// rank orders boxes of the same strength; the highest is first. The order differs from that of the
// relays, so that one box does not get both roles.
func rank(box string) uint64 { return xxhash.Sum64String("store/" + box) }
