package gateway

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/resumetoken"
)

// streamChunk is the data of one event, for completions and for chat.
type streamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model,omitempty"`
	Choices []streamChoice `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
	Outcome string         `json:"outcome,omitempty"`
}

type streamChoice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

func newUsage(c engineclient.Chunk) *usage {
	return &usage{
		PromptTokens:     c.PromptTokens,
		CompletionTokens: c.Offset,
		TotalTokens:      uint64(c.PromptTokens) + c.Offset,
	}
}

// eventStream is the body of a streamed answer: server-sent events, made as they are
// read. Each token's event id is a resume token. The HTTP library reads it, sends each
// piece at once, and closes it when the answer is over or the caller is gone; there is
// no goroutine and no pipe in between.
type eventStream struct {
	generation *generation
	suffix     string
	chunk      streamChunk
	// pending is what was made and not read yet.
	pending []byte
	read    int
	over    bool
	drained bool
}

func newEventStream(g *generation) *eventStream {
	object := "text_completion"
	if g.kind == kindChat {
		object = "chat.completion.chunk"
	}
	return &eventStream{
		generation: g,
		suffix:     resumetoken.Suffix(g.call.snap.ResumeKey(), g.call.account.Name(), g.backend.Name(), g.id),
		chunk: streamChunk{
			ID: "cmpl-" + g.id, Object: object, Created: createdAt(g.id), Model: g.in.Model,
			Choices: make([]streamChoice, 1),
		},
	}
}

// Read gives the next events, waiting for a token if there are none.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.read == len(s.pending) {
		if s.over {
			s.drained = true
			return 0, io.EOF
		}
		s.pending, s.read = s.pending[:0], 0
		s.over = !s.generation.step(s)
	}
	n := copy(p, s.pending[s.read:])
	s.read += n
	return n, nil
}

// Close ends the request. Before all was read it means that the caller is gone.
func (s *eventStream) Close() error {
	g := s.generation
	switch {
	case s.drained:
	case !s.over:
		g.abandon()
	case g.outcome == outcome.Done:
		// The end mark did not reach the caller.
		g.outcome = outcome.Unknown
	}
	g.finish()
	return nil
}

func (s *eventStream) token(c engineclient.Chunk) {
	choice := &s.chunk.Choices[0]
	if s.generation.kind == kindChat {
		choice.Delta = &delta{Content: c.Text}
		if c.Offset == 1 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &c.Text
	}
	s.pending = append(s.pending, "id: "...)
	s.pending = strconv.AppendUint(s.pending, c.Offset, 10)
	s.pending = append(s.pending, s.suffix...)
	s.pending = append(s.pending, '\n')
	s.data(&s.chunk)
}

// data adds the data line of one event.
func (s *eventStream) data(v any) {
	b, _ := json.Marshal(v)
	s.raw(b)
}

func (s *eventStream) raw(b []byte) {
	s.pending = append(s.pending, "data: "...)
	s.pending = append(s.pending, b...)
	s.pending = append(s.pending, "\n\n"...)
}

func (s *eventStream) end(c engineclient.Chunk) {
	choice := &s.chunk.Choices[0]
	choice.FinishReason = &c.Finish
	if s.generation.kind == kindChat {
		choice.Delta = &delta{}
	} else {
		choice.Text = new(string)
	}
	if s.generation.in.wantsUsage() {
		s.chunk.Usage = newUsage(c)
	}
	s.data(&s.chunk)
	s.outcome(outcome.Done)
	s.raw([]byte("[DONE]"))
}

// outcome adds the trailing event that states the outcome. Its shape is that of a
// chunk without choices, which existing clients pass over.
func (s *eventStream) outcome(o outcome.Outcome) {
	s.pending = append(s.pending, "event: outcome\n"...)
	s.data(&streamChunk{
		ID: s.chunk.ID, Object: "dalebend.outcome", Created: s.chunk.Created,
		Choices: []streamChoice{}, Outcome: o.String(),
	})
}

func (s *eventStream) broken(e *apierror.Error) {
	s.pending = append(s.pending, "event: error\n"...)
	s.raw(e.JSON())
	s.outcome(e.Outcome)
}
