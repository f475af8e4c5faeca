package member

import (
	"cmp"
	"slices"
	"time"
)

// expire marks the peers whose deadline has passed as lost, and returns them.
func (t *table) expire(now time.Time) []*peer {
	var lost []*peer
	t.order = slices.DeleteFunc(t.order, func(p *peer) bool {
		if now.Before(t.deadline(p)) {
			return false
		}
		p.live, p.lost, p.next = false, now, now
		lost = append(lost, p)
		return true
	})
	t.unranked = t.unranked || len(lost) > 0
	return lost
}

// extendDeadlines moves the deadlines of live peers by a time during which this process did not run
// and could not receive.
func (t *table) extendDeadlines(late time.Duration, now time.Time) {
	for _, p := range t.order {
		p.heard = p.heard.Add(late)
		if p.heard.After(now) {
			p.heard = now
		}
	}
}

// dueProbes returns the silent peers whose next heartbeat is due, and drops those that have been
// silent for suspectFor and are not listed.
func (t *table) dueProbes(now time.Time) []*peer {
	var out []*peer
	for name, p := range t.byName {
		if p.live || now.Before(p.next) {
			continue
		}
		p.next = now.Add(t.probeInterval(p, now))
		if now.Sub(p.lost) >= suspectFor {
			if !p.listed {
				delete(t.byName, name)
				t.forgetKey(p)
				continue
			}
			p.next = now.Add(listedInterval)
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.box.Name, b.box.Name) })
	return out
}

// small reports whether so few boxes are known that more can be sent to them during discovery.
func (t *table) small() bool { return len(t.byName) <= directPeers }

// probeInterval returns the time between heartbeats to a peer that is not live. One that was only
// named by others may receive this box's heartbeats already, so it must go on getting them until
// its own arrive.
func (t *table) probeInterval(p *peer, now time.Time) time.Duration {
	if t.small() && p.incarnation == 0 && now.Sub(p.lost) < discoveryTime {
		return roundInterval
	}
	return suspectInterval
}

// isNew reports whether a live peer joined so recently that it may not know the others yet: of any
// maxMissedHeartbeats consecutive heartbeats one arrives.
func (t *table) isNew(p *peer, now time.Time) bool {
	return t.small() && now.Sub(p.firstHeard) <= maxMissedHeartbeats*roundInterval
}

// round returns the time between heartbeats to peers. In a fleet with relays only one peer gets one
// each time.
func (t *table) round() time.Duration {
	if t.relayed() {
		return sampleInterval
	}
	return roundInterval
}

// interval returns the longest time until a live peer receives the next heartbeat.
func (t *table) interval() time.Duration {
	if t.relayed() {
		return relayedInterval
	}
	return roundInterval
}

// earliest returns the first time at which a peer needs attention, at most later.
func (t *table) earliest(later time.Time) time.Time {
	for _, p := range t.byName {
		at := p.next
		if p.live {
			at = t.deadline(p)
		}
		if at.Before(later) {
			later = at
		}
	}
	return later
}
