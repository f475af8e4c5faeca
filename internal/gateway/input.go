package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/engineclient"
)

// kind is the shape of a generation request.
type kind string

const (
	kindCompletion kind = "completion"
	kindChat       kind = "chat"
)

const maxTokensLimit = 1 << 20

// input is the body of a generation request. Sampling settings are passed to the
// engine as they are.
type input struct {
	engineclient.Sampling

	Model               string         `json:"model"`
	Prompt              *string        `json:"prompt"`
	Messages            []message      `json:"messages"`
	Stream              bool           `json:"stream"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	User                string         `json:"user"`
	StreamOptions       *streamOptions `json:"stream_options"`
}

// streamOptions asks for counts at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// message is one turn of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// readInput reads and checks a body.
func readInput(body []byte, k kind) (*input, *apierror.Error) {
	in := &input{}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(in); err != nil {
		return nil, badJSON(err)
	}
	if dec.More() {
		return nil, apierror.Bad(fasthttp.StatusBadRequest, "bad_json", "", "the body holds more than one JSON value")
	}
	if err := in.check(k); err != nil {
		return nil, err
	}
	return in, nil
}

// badJSON says what is wrong with a body.
func badJSON(err error) *apierror.Error {
	const unknown = "json: unknown field "
	var wrongType *json.UnmarshalTypeError
	switch {
	case strings.HasPrefix(err.Error(), unknown):
		param := strings.Trim(strings.TrimPrefix(err.Error(), unknown), `"`)
		return apierror.Bad(fasthttp.StatusBadRequest, "unsupported_parameter", param,
			"parameter %q is not supported; leave it out", param)
	case errors.As(err, &wrongType):
		return apierror.Bad(fasthttp.StatusBadRequest, "wrong_type", wrongType.Field,
			"parameter %q may not be a %s", wrongType.Field, wrongType.Value)
	default:
		return apierror.Bad(fasthttp.StatusBadRequest, "bad_json", "", "the body is not JSON: %v", err)
	}
}

func (in *input) check(k kind) *apierror.Error {
	switch {
	case in.Model == "":
		return badParam("model", "model is needed; see /v1/models")
	case in.N != nil && *in.N != 1:
		return badParam("n", "n may only be 1")
	case in.MaxTokens != nil && in.MaxCompletionTokens != nil:
		return badParam("max_completion_tokens", "give max_tokens or max_completion_tokens, not both")
	}
	for _, p := range []*int{in.MaxTokens, in.MaxCompletionTokens} {
		if p != nil && (*p < 1 || *p > maxTokensLimit) {
			return badParam("max_tokens", "max_tokens must be from 1 to %d", maxTokensLimit)
		}
	}
	if k == kindChat {
		return in.checkChat()
	}
	return in.checkCompletion()
}

func badParam(param, format string, args ...any) *apierror.Error {
	return apierror.Bad(fasthttp.StatusBadRequest, "bad_parameter", param, format, args...)
}

func (in *input) checkCompletion() *apierror.Error {
	if in.Messages != nil {
		return badParam("messages", "messages belong to /v1/chat/completions")
	}
	if in.Prompt == nil {
		return badParam("prompt", "prompt is needed, one string")
	}
	return nil
}

func (in *input) checkChat() *apierror.Error {
	if in.Prompt != nil {
		return badParam("prompt", "prompt belongs to /v1/completions")
	}
	if len(in.Messages) == 0 {
		return badParam("messages", "messages are needed, at least one")
	}
	for i, m := range in.Messages {
		if m.Role == "" {
			return badParam("messages", "message %d has no role", i)
		}
	}
	return nil
}

// maxTokens returns the bound of the answer, or 0.
func (in *input) maxTokens() int {
	switch {
	case in.MaxTokens != nil:
		return *in.MaxTokens
	case in.MaxCompletionTokens != nil:
		return *in.MaxCompletionTokens
	default:
		return 0
	}
}

// wantsUsage reports whether a stream ends with counts.
func (in *input) wantsUsage() bool {
	return in.StreamOptions != nil && in.StreamOptions.IncludeUsage
}

// text returns the prompt as the engine gets it.
func (in *input) text() string {
	if in.Prompt != nil {
		return *in.Prompt
	}
	var b strings.Builder
	for _, m := range in.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String()
}
