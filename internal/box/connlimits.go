package box

import "github.com/dalebend/dalebend/internal/connlimit"

const (
	// connMemory is the memory in bytes that a connection of a caller without a request takes, with a head that is not
	// counted.
	connMemory = 24 << 10
	// callerMemoryDivisor divides the memory of a box into that of callers' connections, callerSocketDivisor its sockets: as
	// many may be connected to servers.
	callerMemoryDivisor = 4
	callerSocketDivisor = 3
	// callsSocketDivisor divides the sockets of a box into those of other boxes' calls and tunnels.
	callsSocketDivisor = 4
	// smallConns is the number of connections of a port that has one client: the balancer, or a scraper.
	smallConns = 16
	// smallHeadsDivisor divides the memory for callers' heads into that of such a port, and of other boxes.
	smallHeadsDivisor = 8
	// defaultMemory is the memory in bytes that is assumed if it is not stated.
	defaultMemory = 256 << 20
)

// Ports, as labels of metrics.
const (
	portFront   = "front"
	portReady   = "ready"
	portMetrics = "metrics"
	portCalls   = "calls"
)

// callerConnLimit returns the limiter of callers' connections.
func (b *Box) callerConnLimit() *connlimit.Limiter {
	return b.newConnLimit(portFront, b.maxCallerConns(), b.maxHeadBytes())
}

// callsConnLimit returns the limiter of other boxes' connections.
func (b *Box) callsConnLimit() *connlimit.Limiter {
	return b.newConnLimit(portCalls, b.Settings.Sockets/callsSocketDivisor, b.maxHeadBytes()/smallHeadsDivisor)
}

// smallConnLimit returns the limiter of a port that has one client.
func (b *Box) smallConnLimit(port string) *connlimit.Limiter {
	return b.newConnLimit(port, smallConns, b.maxHeadBytes()/smallHeadsDivisor)
}

func (b *Box) newConnLimit(port string, conns int, headBytes int64) *connlimit.Limiter {
	evicted := b.Metrics.OrDiscard().ConnectionsEvicted
	return &connlimit.Limiter{
		Clock: b.Clock, MaxConns: conns, MaxHeadBytes: headBytes, OnClose: func(reason connlimit.Reason) { evicted.Inc(port, string(reason)) },
	}
}

// maxCallerConns returns the greatest number of callers' connections.
func (b *Box) maxCallerConns() int {
	s := b.Settings
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	most := int(b.memory() / callerMemoryDivisor / connMemory)
	if s.Sockets > 0 {
		most = min(most, s.Sockets/callerSocketDivisor)
	}
	return most
}

// maxHeadBytes returns the memory for the heads of callers' requests, and of servers' answers; 0 is no bound.
func (b *Box) maxHeadBytes() int64 { return int64(b.Settings.HeadShare * float64(b.memory())) }

func (b *Box) memory() int64 {
	if b.Settings.MemoryBytes > 0 {
		return b.Settings.MemoryBytes
	}
	return defaultMemory
}
