package member

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// joinInterval is the time between joins while no peer is live. All boxes start within 0.3 s,
	// so the second or third join finds the seeds running.
	joinInterval = 200 * time.Millisecond
	// maxJoins bounds the listed boxes that get a join at a time, like a round.
	maxJoins = directPeers
	// seedInterval is the time between joins to seeds that are not live. They reunite parts of the
	// fleet that lost each other while the store was down.
	seedInterval = 5 * time.Second
	// triggerInterval is the least time between rounds requested by TriggerHeartbeat; it coalesces
	// the changes that one event makes.
	triggerInterval = 20 * time.Millisecond
	// maxProbes bounds the silent peers of a large fleet that get a heartbeat at a time. Once one
	// of them answers, relays report it to all.
	maxProbes = 8
	// maxWakeDelay is how much later than planned the loop may run before the process is considered
	// to have been stopped. An exhausted CPU quota takes 0.1 s.
	maxWakeDelay = 250 * time.Millisecond
	// sampleBytes is the size up to which a digest is filled with members; one Ethernet packet
	// holds 1,472.
	sampleBytes = 1200
	// minSample is the number of members in an answer whose other parts are large.
	minSample = 3
	// memberOverhead is the most that length prefixes add to the strings of one member when each is
	// under 256 bytes.
	memberOverhead = 9
	// maxNameBytes is more than the longest name of anything in use has: four times what the platform's
	// entries may have.
	maxNameBytes = 1024
	// maxItemBytes is the largest item, in bytes, that fits into a bundle.
	maxItemBytes = digest.MaxBytes - digest.BundleOverhead
)

// tick performs the actions that are due.
func (n *Node) tick(now time.Time) {
	if late := now.Sub(n.due.wake); late > maxWakeDelay {
		n.Logger.Warn("heartbeat loop woke up late", "for", late)
		n.peers.extendDeadlines(late, now)
	}
	if lost := n.peers.expire(now); len(lost) > 0 {
		n.publishLive(lost)
		for _, p := range lost {
			n.logLost(p, now)
		}
	}
	n.logSuppressed(now)
	n.join(now)
	n.sendHeartbeats(now)
	n.probeSilent(now)
	n.flush(now)
	n.sendRequests(now)
	n.due.wake = n.nextWake(now)
}

func (n *Node) nextWake(now time.Time) time.Time {
	wake := n.peers.earliest(n.due.round)
	if n.due.triggered && n.due.lastTriggered.Add(triggerInterval).Before(wake) {
		wake = n.due.lastTriggered.Add(triggerInterval)
	}
	if len(n.peers.order) == 0 && n.due.join.Before(wake) {
		wake = n.due.join
	}
	if n.peers.relayed() {
		wake = sooner(wake, n.due.reported.Add(relayedRound))
	}
	if n.relaying(now) {
		wake = sooner(wake, n.presence.due)
	}
	return sooner(sooner(wake, n.out.due), n.requests.due)
}

// sendHeartbeats sends the heartbeats to live peers that are due.
func (n *Node) sendHeartbeats(now time.Time) {
	if n.due.triggered && now.Sub(n.due.lastTriggered) >= triggerInterval {
		n.due.triggered = false
		n.due.lastTriggered = now
		n.reportToAll(now)
	}
	if n.peers.relayed() && now.Sub(n.due.reported) >= relayedRound {
		n.reportToRelays(now)
	}
	if n.relaying(now) && !now.Before(n.presence.due) {
		n.publishPresence(now)
	}
	if now.Before(n.due.round) {
		return
	}
	n.due.round = now.Add(n.peers.round())
	peers := n.peers.order
	if len(peers) == 0 {
		return
	}
	// One random peer of the round gets a member sample, so that in time every box learns of every
	// other.
	sampled := n.Rand.IntN(len(peers))
	n.answer(peers[sampled])
	if !n.peers.relayed() {
		n.sendToOthers(slices.Concat(peers[:sampled], peers[sampled+1:]), now)
	}
}

// sendToOthers sends heartbeats to peers, with a member sample to those that have just joined.
func (n *Node) sendToOthers(peers []*peer, now time.Time) {
	rest := peers[:0]
	for _, p := range peers {
		if n.peers.isNew(p, now) {
			n.answer(p)
		} else {
			rest = append(rest, p)
		}
	}
	n.sendAll(rest)
}

// reportToAll sends this box's state to all live peers, directly or through relays.
func (n *Node) reportToAll(now time.Time) {
	if n.peers.relayed() {
		n.reportToRelays(now)
		return
	}
	n.reported.last = nil
	n.due.round = now.Add(roundInterval)
	n.sendAll(n.peers.order)
}

// probeSilent sends heartbeats to silent peers, and joins to seeds that are not live.
func (n *Node) probeSilent(now time.Time) {
	silent := n.peers.dueProbes(now)
	if n.peers.relayed() && len(silent) > maxProbes {
		n.Rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		silent = silent[:maxProbes]
	}
	n.sendAll(silent)
	if now.Before(n.due.seed) {
		return
	}
	n.due.seed = now.Add(seedInterval)
	live := make(map[string]bool, len(n.peers.order))
	for _, p := range n.peers.order {
		live[p.box.Addr] = true
	}
	n.joinSeeds(func(seed string) bool { return !live[seed] })
}

// join sends joins to seeds and listed boxes while no peer is live.
func (n *Node) join(now time.Time) {
	if len(n.peers.order) > 0 || now.Before(n.due.join) {
		return
	}
	n.due.join = now.Add(joinInterval)
	n.joinSeeds(func(string) bool { return true })
	data := n.encode(true, false)
	if data == nil {
		return
	}
	sent := 0
	// The order of a map is random, so that over time each box gets its join.
	for _, p := range n.peers.byName {
		if sent == maxJoins {
			return
		}
		if p.listed {
			n.send(data, p.addr)
			sent++
		}
	}
}

func (n *Node) joinSeeds(wanted func(seed string) bool) {
	var data []byte
	for _, seed := range n.currentSeeds() {
		if seed == n.Self.Addr || !wanted(seed) {
			continue
		}
		addr := udpAddr(seed)
		if addr == nil {
			n.Logger.Warn("seed address is not IP:port", "seed", seed)
			continue
		}
		if data == nil {
			data = n.encode(true, false)
		}
		n.send(data, addr)
	}
}

// answer sends a digest with a member sample to one peer.
func (n *Node) answer(p *peer) {
	n.send(n.encode(false, true), p.addr)
}

// sendAll sends one digest to peers.
func (n *Node) sendAll(peers []*peer) {
	if len(peers) == 0 {
		return
	}
	data := n.encode(false, false)
	for _, p := range peers {
		n.send(data, p.addr)
	}
}

// send sends one datagram, if data is not nil. Only the first of consecutive failures is logged.
func (n *Node) send(data []byte, to net.Addr) {
	if data == nil {
		return
	}
	_, err := n.Conn.WriteTo(data, to)
	if errors.Is(err, net.ErrClosed) {
		return
	}
	switch {
	case err != nil && !n.sendFailed:
		n.Logger.Warn("cannot send heartbeats", "to", to, "err", err)
	case err == nil && n.sendFailed:
		n.Logger.Info("heartbeats are sent again", "to", to)
	}
	n.sendFailed = err != nil
}

// state returns this box's state as a digest with a new sequence number. Direct marks one that is
// sent to a single peer.
func (n *Node) state(direct bool) *digest.Digest {
	n.seq++
	d := &digest.Digest{
		Box: n.Self.Name, Addr: n.Self.Addr, CallAddr: n.Self.CallAddr, Domain: n.Self.Domain,
		Incarnation: n.incarnation, Seq: n.seq, Strength: n.Strength,
		IntervalMs: int32(n.peers.interval().Milliseconds()),
	}
	n.FillDigest(d)
	if direct {
		n.reported.recordDirect(d)
	}
	return d
}

// encode encodes the next digest. On failure it logs the error and returns nil.
func (n *Node) encode(join, sample bool) []byte {
	d := n.state(true)
	d.Join = join
	data, err := n.encodeFitting(d)
	if err != nil {
		n.Logger.Error("cannot encode heartbeat", "err", err)
		return nil
	}
	if !sample {
		return data
	}
	n.sample(d, len(data))
	full, err := digest.Encode(d)
	if err != nil {
		n.Logger.Warn("heartbeat sent without members", "err", err)
		return data
	}
	return full
}

// encodeFitting encodes a digest, dropping what it reports until it fits: peers must receive heartbeats
// of this box, whatever it runs and whatever others have written to the store.
func (n *Node) encodeFitting(d *digest.Digest) ([]byte, error) {
	data, err := digest.Encode(d)
	if fits(data, err) {
		n.tooLarge = false
		return data, nil
	}
	whole := *d
	for !fits(data, err) && shrink(d) {
		data, err = digest.Encode(d)
	}
	if !n.tooLarge {
		n.Logger.Warn("heartbeat too large: loads and troubles dropped", "loads", len(whole.Loads), "kept", len(d.Loads),
			"troubles", len(whole.Troubles), "kept_troubles", len(d.Troubles), "cordons", len(whole.Cordoned),
			"kept_cordons", len(d.Cordoned), "services", len(whole.Attempts), "kept_services", len(d.Attempts))
	}
	n.tooLarge = true
	return data, err
}

// fits reports whether a digest or an update was encoded and can be an item of a bundle.
func fits(data []byte, err error) bool { return err == nil && len(data) <= maxItemBytes }

// shrink drops the least important part of a digest: what has names that nothing in use can have, cordons
// that fill most of it, then loads and troubles by halves, then the cordons, then the attempts. It
// returns false if nothing is left to drop.
func shrink(d *digest.Digest) bool {
	switch {
	case dropLongNames(d):
	case namesBytes(d.Cordoned) > maxItemBytes/2:
		d.CordonRevision, d.Cordoned = 0, nil
	case len(d.Loads)+len(d.Troubles) > 0:
		d.Loads = d.Loads[:len(d.Loads)/2]
		d.Troubles = d.Troubles[:len(d.Troubles)/2]
	case len(d.Cordoned) > 0:
		d.CordonRevision, d.Cordoned = 0, nil
	case len(d.Attempts) > 0:
		d.Attempts = nil
	default:
		return false
	}
	return true
}

// namesBytes returns the total length of names.
func namesBytes(names []string) int {
	total := 0
	for _, name := range names {
		total += len(name)
	}
	return total
}

// dropLongNames drops what belongs to a server, failure domain or service with a name longer than
// maxNameBytes, and reports whether there was any.
func dropLongNames(d *digest.Digest) bool {
	before := len(d.Loads) + len(d.Troubles) + len(d.Cordoned) + len(d.Attempts)
	d.Loads = withShortNames(d.Loads, func(l digest.Load) string { return l.Server })
	d.Troubles = withShortNames(d.Troubles, func(t digest.ServerFailure) string { return t.Server })
	d.Cordoned = withShortNames(d.Cordoned, func(domain string) string { return domain })
	d.Attempts = withShortNames(d.Attempts, func(a digest.Attempts) string { return a.Service })
	return len(d.Loads)+len(d.Troubles)+len(d.Cordoned)+len(d.Attempts) < before
}

// withShortNames returns a copy of a list without the items whose names are too long.
func withShortNames[T any](list []T, nameOf func(T) string) []T {
	return slices.DeleteFunc(slices.Clone(list), func(item T) bool { return len(nameOf(item)) > maxNameBytes })
}

// sample adds members in random order to a digest whose encoded size is given.
func (n *Node) sample(d *digest.Digest, size int) {
	order := n.peers.order
	for _, i := range n.Rand.Perm(len(order)) {
		b := order[i].box
		size += len(b.Name) + len(b.Addr) + len(b.CallAddr) + len(b.Domain) + memberOverhead
		if size > sampleBytes && len(d.Members) >= minSample {
			return
		}
		d.Members = append(d.Members, digest.Member(b))
	}
}
