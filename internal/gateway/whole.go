package gateway

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/outcome"
)

// wholeAnswer is the body of an answer that is not streamed.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type wholeChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// maxWholeBytes bounds the text of an answer that is collected: 16 bytes for each of the most tokens that a
// caller may ask for.
const maxWholeBytes = 16 * maxTokensLimit

// errTooLong ends a generation whose answer is collected and has no end.
var errTooLong = errors.New("the answer is too long to be kept whole")

// wholeSink collects an answer.
type wholeSink struct {
	generation *generation
	text       strings.Builder
	last       engineclient.Chunk
	err        *apierror.Error
}

func (s *wholeSink) token(c engineclient.Chunk) {
	if s.text.Len()+len(c.Text) > maxWholeBytes {
		s.generation.cancel(errTooLong)
		return
	}
	s.text.WriteString(c.Text)
}

func (s *wholeSink) end(c engineclient.Chunk) { s.last = c }

func (s *wholeSink) broken(e *apierror.Error) {
	// Nothing of it reached the caller, who gets no part of an answer.
	if e.Outcome == outcome.Cut {
		e.Outcome = outcome.Unknown
		s.generation.outcome = outcome.Unknown
	}
	s.err = e
}

// write answers the request.
func (s *wholeSink) write(ctx *fasthttp.RequestCtx) {
	if s.err != nil {
		s.err.Write(ctx)
		return
	}
	g := s.generation
	text := s.text.String()
	choice := wholeChoice{FinishReason: s.last.Finish}
	object := "text_completion"
	if g.kind == kindChat {
		object = "chat.completion"
		choice.Message = &message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcome.Header, outcome.Done.String())
	_ = json.NewEncoder(ctx).Encode(&wholeAnswer{
		ID: "cmpl-" + g.id, Object: object, Created: createdAt(g.id), Model: g.in.Model,
		Choices: []wholeChoice{choice}, Usage: newUsage(s.last),
	})
}

// createdAt reads the time out of a generation's id, in seconds since 1970, so
// that a resumed stream says the same as an uncut one.
func createdAt(generation string) int64 {
	const uuidLength = 36
	if len(generation) < uuidLength {
		return 0
	}
	id, err := uuid.Parse(generation[:uuidLength])
	if err != nil {
		return 0
	}
	seconds, _ := id.Time().UnixTime()
	return seconds
}
