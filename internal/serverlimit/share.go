package serverlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// Servers with a limit can sustain, within 4 s, one and a half times what they name, plus five:
	// 6 x limit + 5. As an idle box may send one request at once, all boxes in total use at most 4
	// x limit plus one for each box with a share. With at most boxesPerLimit x limit + minBoxes of
	// these, limit/2 + 3 are left for continuing streams and for boxes that do not know of each
	// other yet.
	boxesPerLimit = 1.5
	minBoxes      = 2
	// If fewer boxes have a share they may send larger bursts: burstPerLimit x limit + minBurst in
	// total.
	burstPerLimit = 1.0
	minBurst      = 2
	// minRate is the minimum rate at which a server is probed, in requests a second, whatever it
	// names: without probes nobody learns that it accepts more. Within 4 s this is one request plus
	// the burst.
	minRate = 0.25
	// shareAge is how long a computed share is used: half of the heartbeat interval, as heartbeats
	// carry the demand of boxes.
	shareAge = 200 * time.Millisecond
	// headroom is the factor by which a box's share may exceed its demand, as callers do not arrive
	// evenly.
	headroom = 1.5
)

// claim is the demand of one box for a service, in requests a second.
type claim struct {
	box       string
	perSecond float64
	// order is the hash by which boxes with similar demand are ordered.
	order uint64
}

// share is one box's share of a server's limit.
type share struct {
	// perSecond is the rate, 0 for a box without a share.
	perSecond float64
	// burst is the number of requests that may be sent at once.
	burst int
	// boxes is the number of boxes that have a share.
	boxes int
}

// shareOf returns a box's share of a server's limit. claims are those of all boxes with demand, as
// all boxes know them, so that the sum of all shares is the limit.
//
// If every one of many boxes sent its first request at once, that would exceed what the server can
// sustain. So only some of many boxes have a share: those with the highest demand, and among boxes
// with similar demand the first ones in a hash order that differs between servers.
func shareOf(box, server string, claims []claim, limit float64) share {
	limit = max(limit, minRate)
	claims = selectClaims(server, claims, boxesPerLimit*limit+minBoxes)
	own := slices.IndexFunc(claims, func(c claim) bool { return c.box == box })
	if own < 0 {
		return share{boxes: len(claims)}
	}
	return share{
		perSecond: split(claims, limit)[own],
		burst:     max(1, int((burstPerLimit*limit+minBurst)/float64(len(claims)))),
		boxes:     len(claims),
	}
}

// selectClaims returns the claims that get a share of a server, at most a given number.
func selectClaims(server string, claims []claim, most float64) []claim {
	if float64(len(claims)) <= most {
		return claims
	}
	for i := range claims {
		claims[i].order = xxhash.Sum64String(server + "/" + claims[i].box)
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(magnitude(b.perSecond), magnitude(a.perSecond)), cmp.Compare(a.order, b.order))
	})
	return claims[:int(most)]
}

// magnitude returns a number that rises by one when a rate rises fourfold; the demand of a box
// varies by less from second to second.
func magnitude(perSecond float64) int { return math.Ilogb(perSecond) >> 1 }

// split divides a limit between claims by max-min fairness: a claim below an equal part gets its
// demand plus headroom, and the others divide the remainder equally. What nobody demands is divided
// equally as well.
func split(claims []claim, limit float64) []float64 {
	byClaim := make([]int, len(claims))
	for i := range byClaim {
		byClaim[i] = i
	}
	slices.SortFunc(byClaim, func(a, b int) int { return cmp.Compare(claims[a].perSecond, claims[b].perSecond) })
	parts := make([]float64, len(claims))
	left := limit
	for n, i := range byClaim {
		parts[i] = min(claims[i].perSecond*headroom, left/float64(len(claims)-n))
		left -= parts[i]
	}
	for i := range parts {
		parts[i] += left / float64(len(parts))
	}
	return parts
}

// claims returns the demand of all boxes for a service. While no box has reported any, all live
// boxes have a claim. The lock must be held.
func (b *Tracker) claims(service string) []claim {
	own, peers := b.Demand(service)
	var claims []claim
	if own > 0 {
		claims = append(claims, claim{box: b.Box, perSecond: own})
	}
	for box, perSecond := range peers {
		if perSecond > 0 {
			claims = append(claims, claim{box: box, perSecond: perSecond})
		}
	}
	if len(claims) == 0 {
		for _, box := range b.Live() {
			claims = append(claims, claim{box: box})
		}
	}
	return claims
}

// updateShare recomputes this box's share of a limit if it is older than shareAge. The lock must be
// held.
func (b *Tracker) updateShare(l *limit, now time.Time) {
	if l.permits != nil && now.Sub(l.shared) < shareAge {
		return
	}
	l.shared = now
	l.share = shareOf(b.Box, l.server, b.claims(l.service), l.perSecond)
	b.Metrics.OrDiscard().ServerLimitShare.Set(l.share.perSecond, l.server)
	if l.permits == nil {
		l.permits = rate.NewLimiter(rate.Limit(l.share.perSecond), l.share.burst)
		return
	}
	l.permits.SetLimitAt(now, rate.Limit(l.share.perSecond))
	l.permits.SetBurstAt(now, l.share.burst)
}
