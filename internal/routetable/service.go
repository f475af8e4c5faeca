package routetable

import "time"

// Service is a group of backend servers that serve the same requests. Immutable.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all callers in total.
	MaxConns int
	// ColdRate is the number of requests a second that a cold server sustains; 0 means no bound.
	ColdRate float64
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration
	// Engine is set if the servers are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// MemoryTokens is the memory for running requests and cached prompt parts, in tokens.
	MemoryTokens int
	// TokenBytes is the memory of one token, in bytes.
	TokenBytes int64
	// LinkMbps is the rate at which memory is copied between engines, in Mbit/s.
	LinkMbps float64
	// Moves means that running requests can be moved to another engine.
	Moves bool
	// Backups means that an engine can copy a running request's memory to another as it grows.
	Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// CopyTTL is how long an unused copy of a request's memory is kept.
	CopyTTL time.Duration
}

// defaultCopyTime is the time of a copy between engines whose links are not declared: that of 4,000
// tokens of 160 KB over 24 Gbit/s.
const defaultCopyTime = 220 * time.Millisecond

// CopyTime returns how long it takes to copy this many tokens to another engine of the same failure
// domain over idle links; copies to other domains take twice as long.
func (e *Engine) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 || e.TokenBytes <= 0 {
		return defaultCopyTime
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	bits := float64(tokens) * float64(e.TokenBytes) * bitsPerByte
	return time.Duration(bits / (e.LinkMbps * bitsPerMbit) * float64(time.Second))
}

// moveOverhead is the time of a move in addition to the copy of the memory: the copy of what was
// generated meanwhile, the stop, and the message to the next box in the move order. A move of 4,000
// tokens, 220 ms of copying, takes 270 to 290 ms.
const moveOverhead = 60 * time.Millisecond

// MoveTime returns how long it takes to move a running request that holds this many tokens to
// another engine of the same failure domain over idle links.
func (e *Engine) MoveTime(tokens int) time.Duration { return e.CopyTime(tokens) + moveOverhead }

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a caller may take to send a request's header.
	HeaderTime time.Duration
	// IdleTime is how long a connection may be idle between requests.
	IdleTime time.Duration
}
