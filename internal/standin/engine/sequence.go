package engine

import (
	"time"

	"github.com/dalebend/dalebend/internal/standin/sampletext"
)

// seqState is where a sequence stands.
type seqState uint8

const (
	seqWaiting seqState = iota
	seqRunning
	seqPaused
	seqFinished
	seqCancelled
)

// sequence is one generation. All fields are guarded by Engine.mu.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	seed     uint64
	prompt   []uint64
	promptN  int
	target   int
	limited  bool
	produced int
	prefill  int
	private  int
	state    seqState
	reader   uint64
	detached time.Time
	changed  chan struct{}
}

func newSequence(in *completionRequest) *sequence {
	target := sampletext.Length(in.Prompt)
	s := &sequence{
		id:       in.RequestID,
		priority: in.Priority,
		seed:     sampletext.Seed(in.Prompt),
		prompt:   sampletext.BlockHashes(in.Prompt, blockTokens),
		promptN:  sampletext.PromptTokens(in.Prompt),
		target:   target,
		changed:  make(chan struct{}),
	}
	if in.MaxTokens > 0 && in.MaxTokens < target {
		s.target = in.MaxTokens
		s.limited = true
	}
	return s
}

// tokens returns the tokens in memory when the sequence runs.
func (s *sequence) tokens() int { return s.promptN + s.produced }

// blocksBeyondPrompt returns the private blocks for what is in memory now and
// one token more.
func (s *sequence) blocksBeyondPrompt() int {
	return (s.tokens()+blockTokens)/blockTokens - len(s.prompt)
}

// ended reports whether no more tokens will come.
func (s *sequence) ended() bool { return s.state == seqFinished || s.state == seqCancelled }

// signal wakes the reader.
func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// before orders sequences for admission; the last one is preempted first.
func (s *sequence) before(o *sequence) bool {
	if s.priority != o.priority {
		return s.priority < o.priority
	}
	return s.arrival < o.arrival
}
