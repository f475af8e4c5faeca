package occupancy

import (
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/outputlength"
)

// Stream is one generation that this box runs on an engine.
type Stream struct {
	curve       *outputlength.SurvivalCurve
	prompt      int
	shared      int
	limit       int
	priority    int
	knownLength int
	started     time.Time
	remote      bool
	produced    atomic.Int64
	paused      bool
	pauses      int
}

// StreamConfig describes a stream before it starts.
type StreamConfig struct {
	// Curve is the expected distribution of its length.
	Curve *outputlength.SurvivalCurve
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// MaxTokens bounds the answer; 0 is no bound.
	MaxTokens int
	// Priority is that of the client account.
	Priority int
	// KnownLength is the true length, for the oracle baseline only; 0 is unknown.
	KnownLength int
	// Started is when the stream was dispatched.
	Started time.Time
	// Remote is set for a stream that another box relays: its tokens are not seen here, and its
	// progress is estimated from the time.
	Remote bool
}

// NewStream returns a stream that has produced nothing.
func NewStream(c StreamConfig) *Stream {
	return &Stream{
		curve:       c.Curve,
		prompt:      c.PromptTokens,
		limit:       c.MaxTokens,
		priority:    c.Priority,
		knownLength: c.KnownLength,
		started:     c.Started,
		remote:      c.Remote,
	}
}

// Progress records that n tokens were produced so far. It takes no lock.
func (s *Stream) Progress(n int) { s.produced.Store(int64(n)) }

// estimateProgress sets the progress of a remote stream from the time per token.
func (s *Stream) estimateProgress(now time.Time, step time.Duration) {
	if s.remote && step > 0 {
		s.Progress(int(now.Sub(s.started) / step))
	}
}

// Produced returns the tokens produced so far.
func (s *Stream) Produced() int { return int(s.produced.Load()) }

// SetSharedTokens sets how much of the prompt the engine is expected to hold already for other
// streams. It may be called until the stream is added to an engine.
func (s *Stream) SetSharedTokens(tokens int) { s.shared = min(max(tokens, 0), s.prompt) }

// Tokens returns the memory that the stream holds now, without the shared prefix.
func (s *Stream) Tokens() int { return s.prompt - s.shared + s.Produced() }

// Priority returns the priority of the client account.
func (s *Stream) Priority() int { return s.priority }

// Paused reports whether the stream was preempted and holds no memory.
func (s *Stream) Paused() bool { return s.paused }

// PauseCount returns how often the stream was paused.
func (s *Stream) PauseCount() int { return s.pauses }

// Remaining returns the q-quantile of the tokens that the stream still produces.
func (s *Stream) Remaining(q float64) int {
	if s.knownLength > 0 {
		return max(0, s.knownLength-s.Produced())
	}
	r := s.curve.RemainingQuantile(s.Produced(), q)
	if s.limit > 0 {
		r = min(r, s.limit-s.Produced())
	}
	return max(0, r)
}

// outlives returns the probability that the stream still runs after t more tokens.
func (s *Stream) outlives(produced, t int) float64 {
	switch {
	case s.knownLength > 0 && produced+t >= s.knownLength, s.limit > 0 && produced+t >= s.limit:
		return 0
	case s.knownLength > 0:
		return 1
	default:
		return s.curve.SurvivalProbability(produced, t)
	}
}
