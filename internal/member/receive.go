package member

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// readPause is the pause after a failed read. It keeps a socket that fails at once
// from taking the processor, and is well under a heartbeat interval.
const readPause = 100 * time.Millisecond

// receive decodes datagrams until ctx ends or the socket is closed.
func (n *Node) receive(ctx context.Context, in chan<- *digest.Digest) error {
	// One byte more than allowed shows that a datagram is too large.
	buf := make([]byte, digest.MaxBytes+1)
	for ctx.Err() == nil {
		size, from, err := n.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			n.Logger.Warn("cannot read heartbeats", "err", err)
			select {
			case <-ctx.Done():
			case <-n.Clock.After(readPause):
			}
			continue
		}
		d, err := digest.Decode(buf[:size])
		if err != nil {
			n.Logger.Warn("heartbeat refused", "from", from, "err", err)
			continue
		}
		select {
		case in <- d:
		case <-ctx.Done():
		}
	}
	return nil
}

// accept takes one digest.
func (n *Node) accept(d *digest.Digest) {
	if d.Box == n.Self.Name {
		return
	}
	now := n.Clock.Now()
	p, news := n.peers.hear(d, now)
	if p == nil {
		return
	}
	if news != sameBox {
		defer n.logHeard(p, news, now)
	}
	// A peer that comes back has lost this box too, more often than not.
	if d.Join || news != sameBox {
		n.answer(p)
	}
	for _, m := range d.Members {
		n.learn(Box(m), now)
	}
	if news != sameBox {
		n.publish()
	}
	n.Heard(d)
}

// learn takes a box that a peer counts as live, and greets it when it is new.
func (n *Node) learn(b Box, now time.Time) {
	p := n.peers.learn(b, now)
	if p == nil {
		return
	}
	p.next = now.Add(suspectInterval)
	if data := n.encode(false, false); data != nil {
		n.send(data, p.addr)
	}
}
