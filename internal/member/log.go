package member

import (
	"context"
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// maxPeerLines bounds the log lines about single peers in each peerLinesPeriod. When 300 boxes
	// start, each finds 299 others within two seconds, which was four fifths of all its log lines.
	maxPeerLines    = 8
	peerLinesPeriod = time.Second
)

// peerLines counts the log lines about peers since a time, and the peers without one.
type peerLines struct {
	since       time.Time
	written     int
	heard, lost int
}

// logHeard logs a peer that joined, rejoined or restarted.
func (n *Node) logHeard(p *peer, what change, now time.Time) {
	if !n.mayLog(now) {
		n.lines.heard++
		return
	}
	attrs := []slog.Attr{slog.String(event.KeyReason, what.String())}
	if what == regained {
		attrs = append(attrs, slog.Int64(event.KeyAway, now.Sub(p.lost).Milliseconds()))
	}
	n.log(event.PeerRegained, append(attrs, slog.String(event.KeyPeer, p.box.Name))...)
}

// logLost logs a peer whose heartbeats stopped.
func (n *Node) logLost(p *peer, now time.Time) {
	if !n.mayLog(now) {
		n.lines.lost++
		return
	}
	n.log(event.PeerLost, slog.Int64(event.KeyAway, now.Sub(p.heard).Milliseconds()),
		slog.String(event.KeyPeer, p.box.Name))
}

// mayLog reports whether the bound allows another line about a single peer.
func (n *Node) mayLog(now time.Time) bool {
	n.logSuppressed(now)
	n.lines.written++
	return n.lines.written <= maxPeerLines
}

// logSuppressed logs the number of peers without a line of their own when a period is over.
func (n *Node) logSuppressed(now time.Time) {
	if now.Sub(n.lines.since) < peerLinesPeriod {
		return
	}
	if n.lines.heard+n.lines.lost > 0 {
		n.log(event.PeersChanged,
			slog.Int(event.KeyHeard, n.lines.heard), slog.Int(event.KeyLost, n.lines.lost))
	}
	n.lines = peerLines{since: now}
}

// log writes one event about peers to the decision log.
func (n *Node) log(name event.Name, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int(event.KeyLive, len(n.peers.order)+1))
	n.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

func (n change) String() string {
	switch n {
	case newPeer:
		return "it is new here"
	case regained:
		return "it is heard again"
	case restarted:
		return "it started anew"
	default:
		return "nothing changed"
	}
}
