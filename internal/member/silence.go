package member

import (
	"cmp"
	"slices"
	"time"
)

// expire returns the peers that are lost now.
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

// forgive moves the deadlines of live peers by a time during which this process
// did not run and so could not hear them.
func (t *table) forgive(late time.Duration, now time.Time) {
	for _, p := range t.order {
		p.heard = p.heard.Add(late)
		if p.heard.After(now) {
			p.heard = now
		}
	}
}

// silent returns the peers whose next heartbeat is due although they are silent,
// and drops those that were silent for long.
func (t *table) silent(now time.Time) []*peer {
	var out []*peer
	for name, p := range t.byName {
		if p.live || now.Before(p.next) {
			continue
		}
		p.next = now.Add(t.knockInterval(p, now))
		if now.Sub(p.lost) >= suspectFor {
			if !p.listed {
				delete(t.byName, name)
				t.forgetStart(p)
				continue
			}
			p.next = now.Add(listedInterval)
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.box.Name, b.box.Name) })
	return out
}

// small reports whether the boxes that are known at all are few, so that they can be sent
// more while they meet.
func (t *table) small() bool { return len(t.byName) <= directPeers }

// knockInterval is the time between heartbeats to a peer that is not heard. One that was only
// told of may hear this box already, and is to go on doing so until it is heard.
func (t *table) knockInterval(p *peer, now time.Time) time.Duration {
	if t.small() && p.incarnation == 0 && now.Sub(p.lost) < meetFor {
		return roundInterval
	}
	return suspectInterval
}

// meeting reports whether a live peer is so new that it may not have heard of the others yet:
// of any missedBeats heartbeats in a row one arrives.
func (t *table) meeting(p *peer, now time.Time) bool {
	return t.small() && now.Sub(p.met) <= missedBeats*roundInterval
}

// round is the time between heartbeats to peers. In a fleet that is told by relays only one peer gets
// one each time.
func (t *table) round() time.Duration {
	if t.relayed() {
		return sampleInterval
	}
	return roundInterval
}

// interval is how long it may take until a live peer hears the next heartbeat.
func (t *table) interval() time.Duration {
	if t.relayed() {
		return relayedInterval
	}
	return roundInterval
}

// earliest returns the first time at which something is due to a peer, or later
// if that is sooner.
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
