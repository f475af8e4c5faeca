// Package request describes a caller's request, independent of the protocol.
package request

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller. It must not be changed once it was parsed.
type Request struct {
	// ID identifies the attempt; callers choose a new one for each.
	ID string
	// Key is the caller's API key, if any.
	Key    string
	Method string
	// Host is the host that the request names, without a port.
	Host string
	// URI is the path and query as sent; Path is the path alone.
	URI  string
	Path string
	// Header holds the headers as sent.
	Header http.Header
	// Body is the whole body; HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// Arrived is when the head was read.
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived; 0 is unknown.
	Timeout time.Duration
	// Model is the model of a generation, otherwise empty.
	Model string
	// PromptTokens is the size of the prompt, MaxTokens the maximum number of tokens to generate.
	PromptTokens int
	MaxTokens    int
	// SharedSegments are the stated segments of the prompt that other requests may have too, in order.
	SharedSegments []string
	// UniqueSegment is the last stated segment of the prompt, which belongs to this request or its
	// session alone; empty if not stated. It is the same in all attempts of a request.
	UniqueSegment string
	// HintTokens is the caller's estimate of the tokens to generate; 0 is none.
	HintTokens int
}
