package member

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// readPause is the pause after a failed read. It keeps a socket that fails at once from using up
// the CPU, and is well under a heartbeat interval.
const readPause = 100 * time.Millisecond

// receive decodes datagrams until ctx ends or the socket is closed.
func (n *Node) receive(ctx context.Context, in chan<- datagram) error {
	// One byte more than allowed reveals a datagram that is too large.
	buf := make([]byte, digest.MaxBytes+1)
	seen := seen{ownKey: n.ownKey}
	for ctx.Err() == nil {
		size, from, err := n.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			n.Logger.Warn("cannot read from heartbeat socket", "err", err)
			select {
			case <-ctx.Done():
			case <-n.Clock.After(readPause):
			}
			continue
		}
		d, err := decode(buf[:size], &seen)
		if err != nil {
			n.Logger.Warn("datagram rejected", "from", from, "err", err)
			continue
		}
		select {
		case in <- d:
		case <-ctx.Done():
		}
	}
	return nil
}

// decode decodes a datagram, without the items that were seen before.
func decode(data []byte, s *seen) (datagram, error) {
	if digest.IsBundle(data) {
		b, err := digest.DecodeBundle(data, s)
		return datagram{bundle: b}, err
	}
	d, err := digest.Decode(data)
	return datagram{digest: d}, err
}

// seen filters duplicates: it holds the newest update and presence report of each incarnation that
// came in a bundle, and the notes. Each item comes from two relays, and decoding it is most of the
// work.
type seen struct {
	ownKey             uint64
	updates, presences newest
	notes              map[noteKey]struct{}
}

// newest holds the highest sequence number of each incarnation.
type newest map[uint64]uint64

// maxSeen bounds the incarnations and the notes that are kept: some restarts of a large fleet.
// After they are dropped, an old update is decoded once and then discarded, and an old note is
// recognized as a duplicate by its handler.
const maxSeen = 8192

// Update reports whether an update has the highest sequence number of its incarnation so far.
func (s *seen) Update(key, seq uint64) bool { return key != s.ownKey && s.updates.raise(key, seq) }

// Presence reports whether a presence report has the highest sequence number of its relay so far.
func (s *seen) Presence(key, seq uint64) bool { return key != s.ownKey && s.presences.raise(key, seq) }

// raise records a sequence number, and reports whether it is the highest so far.
func (n *newest) raise(key, seq uint64) bool {
	if (*n)[key] >= seq && seq > 0 {
		return false
	}
	if *n == nil || len(*n) >= maxSeen {
		*n = make(newest)
	}
	(*n)[key] = seq
	return true
}

// Note reports whether a note is new. Notes may arrive out of order.
func (s *seen) Note(key, seq uint64) bool {
	if key == s.ownKey {
		return false
	}
	id := noteKey{key: key, seq: seq}
	if _, ok := s.notes[id]; ok {
		return false
	}
	if s.notes == nil || len(s.notes) >= maxSeen {
		s.notes = make(map[noteKey]struct{})
	}
	s.notes[id] = struct{}{}
	return true
}

// noteKey identifies a note.
type noteKey struct{ key, seq uint64 }

// handle processes one datagram and calls the callbacks.
func (n *Node) handle(d datagram) {
	if d.bundle != nil {
		n.receiveBundle(d.bundle)
	} else {
		n.receiveDirect(d.digest)
	}
	if n.changed {
		n.publishLive(nil)
	}
	// OnDigest may look up the sender among the live boxes.
	for _, d := range n.pendingDigests {
		n.OnDigest(d)
	}
	clear(n.pendingDigests)
	n.pendingDigests = n.pendingDigests[:0]
	for _, note := range n.pendingNotes {
		if n.OnNote != nil {
			n.OnNote(note.from, note.data)
		}
	}
	clear(n.pendingNotes)
	n.pendingNotes = n.pendingNotes[:0]
}

// receiveDirect processes a digest sent by its box itself.
func (n *Node) receiveDirect(d *digest.Digest) {
	now := n.Clock.Now()
	p, what := n.applyDigest(d, now)
	if p == nil {
		return
	}
	p.relay.lastDirect = now
	// A peer that rejoins has usually lost this box too. In a large fleet relays report who is
	// present, and answers from all boxes would be most of the cost of a start.
	if d.Join || what != unchanged && !n.peers.relayed() {
		n.answer(p)
	}
	for _, m := range d.Members {
		n.learn(Box(m), now)
	}
}

// applyDigest applies a digest, whichever way it came. The peer is nil if it is not new.
func (n *Node) applyDigest(d *digest.Digest, now time.Time) (*peer, change) {
	if d.Box == n.Self.Name {
		return nil, unchanged
	}
	p, what := n.peers.receive(d, now)
	if p == nil {
		return nil, unchanged
	}
	if what != unchanged {
		n.changed = true
		n.logHeard(p, what, now)
	}
	n.pendingDigests = append(n.pendingDigests, d)
	return p, what
}

// learn adds a box that a peer considers live, and sends it a heartbeat if it is new. In a large
// fleet relays report it sooner than all boxes could greet each other.
func (n *Node) learn(b Box, now time.Time) {
	p := n.peers.learn(b, now)
	if p == nil || n.peers.relayed() {
		return
	}
	p.next = now.Add(n.peers.probeInterval(p, now))
	if data := n.encode(false, false); data != nil {
		n.send(data, p.addr)
	}
}
