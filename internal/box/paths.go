package box

import (
	"context"
	"net"
	"time"

	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/serverpath"
	"github.com/dalebend/dalebend/internal/tunnel"
	"github.com/dalebend/dalebend/internal/tunnel/endpoint"
)

const (
	// descriptorsPerTunnel is the number of open files that a tunnel takes, and tunnelShare the part
	// of all that tunnels may take, as one in so many.
	descriptorsPerTunnel = 2
	tunnelShare          = 4
	// tunnelKeepAliveIdle, tunnelKeepAliveInterval and tunnelKeepAliveCount close tunnels whose peer
	// is gone.
	tunnelKeepAliveIdle     = time.Second
	tunnelKeepAliveInterval = time.Second
	tunnelKeepAliveCount    = 3
)

// buildPaths creates the paths to backend servers, direct and through peers.
func (b *Box) buildPaths() {
	b.paths = &serverpath.Selector{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Reach: b.reach,
		Peers: b.tunnelPeers, Domain: b.directory.DomainOf,
		Tunnels: &tunnel.Dialer{Box: b.Settings.Box, Net: &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tunnelKeepAliveIdle, Interval: tunnelKeepAliveInterval, Count: tunnelKeepAliveCount,
		}}},
		Draw: b.random(randForPaths).IntN,
	}
	b.Exchange.Paths = b.paths
	b.tunnels = &endpoint.Server{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Dial: b.dialForPeer,
		MaxTunnels: b.Settings.Descriptors / descriptorsPerTunnel / tunnelShare,
	}
}

// tunnelPeers returns the boxes that may connect to servers for this one.
func (b *Box) tunnelPeers() []member.Box {
	live := b.live()
	peers := make([]member.Box, 0, len(live))
	for i := range live {
		if live[i].Name != b.Settings.Box && !b.peers.Leaving(live[i].Name) {
			peers = append(peers, live[i])
		}
	}
	return peers
}

// dialForPeer connects to a server for another box.
func (b *Box) dialForPeer(ctx context.Context, id string) (net.Conn, error) {
	server := b.directory.Lookup(id)
	if server == nil {
		return nil, endpoint.ErrUnknown
	}
	return b.paths.ConnectForPeer(ctx, id, func(ctx context.Context) (net.Conn, error) {
		return b.Exchange.DialDirect(ctx, server.Addr)
	})
}
