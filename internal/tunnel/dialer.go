package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/dalebend/dalebend/internal/headlimit"
	"github.com/dalebend/dalebend/internal/member"
)

// maxReasonBytes bounds the reason of a refusal, which is logged.
const maxReasonBytes = 512

// readBufferBytes is the size of a tunnel's read buffer: several events of a token stream.
const readBufferBytes = 4 << 10

// Reasons for which a peer opens no tunnel.
var (
	// ErrServerUnreachable means that the server accepts no connection from the peer either.
	ErrServerUnreachable = errors.New("the server accepts no connection from the peer")
	// ErrPeerUnable means that the peer can't tell: it reaches no server, does not know this one, or
	// has too many tunnels.
	ErrPeerUnable = errors.New("the peer can't connect to servers")
)

// NetDialer opens TCP connections, as net.Dialer does.
type NetDialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Dialer opens tunnels. Set the exported fields before use.
type Dialer struct {
	// Box is the name of this box, for the peer's log.
	Box string
	// Net dials the peers.
	Net NetDialer
}

// Dial connects to a server through a peer. The error is ErrServerUnreachable or ErrPeerUnable if the
// peer answered.
func (d *Dialer) Dial(ctx context.Context, peer *member.Box, server string) (net.Conn, error) {
	nc, err := d.Net.DialContext(ctx, "tcp", peer.CallAddr)
	if err != nil {
		return nil, fmt.Errorf("tunnel through %s: %w", peer.Name, err)
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close() // nothing was sent
		return nil, fmt.Errorf("tunnel through %s: %T is no TCP connection", peer.Name, nc)
	}
	head := headlimit.New(tcp, MaxHeadBytes)
	conn := &Conn{TCPConn: tcp, peer: peer.Name, br: bufio.NewReaderSize(head, readBufferBytes)}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	err = conn.open(d.Box, peer.CallAddr, server)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = tcp.Close() // the first error counts
		return nil, fmt.Errorf("tunnel through %s: %w", peer.Name, err)
	}
	head.Lift()
	return conn, nil
}

// open asks the peer to connect to the server.
func (c *Conn) open(box, addr, server string) error {
	r := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: pathPrefix + server, RawPath: pathOf(server)}, Host: addr,
		ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {Protocol}, "User-Agent": {""}, BoxHeader: {box}},
	}
	if err := r.Write(c.TCPConn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return resp.Body.Close()
	}
	reason, err := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusBadGateway {
		return fmt.Errorf("%w: %s", ErrServerUnreachable, reason)
	}
	return fmt.Errorf("%w: status %d: %s", ErrPeerUnable, resp.StatusCode, reason)
}
