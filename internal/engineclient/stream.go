package engineclient

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
)

// doneMark ends a stream that is whole.
const doneMark = "[DONE]"

// Chunk is one event of a stream.
type Chunk struct {
	// Generation and Offset place the token; offsets begin at 1.
	Generation string
	Offset     uint64
	Text       string
	// Finish is empty before the end, then "stop", "length" or "cancelled".
	Finish string
	// PromptTokens is given at the end.
	PromptTokens int
}

// Stream is the answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	server string
	resp   *fasthttp.Response
	next   func() (sse.Event, error, bool)
	stop   func()
	ended  bool
	began  atomic.Bool
	reader string
	client *Client
	local  string
}

// event is the data of one event.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
	} `json:"usage"`
}

func newStream(c *Client, server string, resp *fasthttp.Response) *Stream {
	next, stop := iter.Pull2(sse.Read(resp.BodyStream(), nil))
	s := &Stream{server: server, resp: resp, next: next, stop: stop, client: c, local: localAddr(resp)}
	s.reader = string(resp.Header.Peek("Stream-Reader"))
	return s
}

// Reader names this stream to Client.Cancel.
func (s *Stream) Reader() string { return s.reader }

// Started reports whether a chunk came. It may be called from any goroutine.
func (s *Stream) Started() bool { return s.began.Load() }

// Abort makes a Next that waits, or the next one, fail. Unlike the other methods
// it may be called from any goroutine.
func (s *Stream) Abort() { s.client.dialer.Abort(s.local) }

// Next returns the next chunk. After the end mark it returns io.EOF; a stream
// that ends without one is an error.
func (s *Stream) Next() (Chunk, error) {
	ev, err, ok := s.next()
	if err != nil {
		return Chunk{}, s.fail(err)
	}
	if !ok {
		return Chunk{}, s.fail(io.ErrUnexpectedEOF)
	}
	if ev.Data == doneMark {
		s.ended = true
		return Chunk{}, io.EOF
	}
	return s.chunk(ev)
}

func (s *Stream) chunk(ev sse.Event) (Chunk, error) {
	i := strings.LastIndexByte(ev.LastEventID, ':')
	if i < 0 {
		return Chunk{}, s.fail(fmt.Errorf("event id %q is not GENERATION:OFFSET", ev.LastEventID))
	}
	offset, err := strconv.ParseUint(ev.LastEventID[i+1:], 10, 64)
	if err != nil {
		return Chunk{}, s.fail(fmt.Errorf("event id %q: %w", ev.LastEventID, err))
	}
	var in event
	if err := json.Unmarshal([]byte(ev.Data), &in); err != nil {
		return Chunk{}, s.fail(fmt.Errorf("read event: %w", err))
	}
	if len(in.Choices) != 1 {
		return Chunk{}, s.fail(fmt.Errorf("event has %d choices, not 1", len(in.Choices)))
	}
	c := Chunk{Generation: ev.LastEventID[:i], Offset: offset, Text: in.Choices[0].Text}
	if r := in.Choices[0].FinishReason; r != nil {
		c.Finish = *r
	}
	s.began.Store(true)
	if in.Usage != nil {
		c.PromptTokens = in.Usage.PromptTokens
	}
	return c, nil
}

func (s *Stream) fail(err error) *CallError {
	return &CallError{server: s.server, sent: true, err: err}
}

// Close ends the stream. Its connection is reused only after the end mark.
func (s *Stream) Close() {
	s.stop()
	if s.ended {
		_ = s.client.closeRead(s.resp) // what follows the end mark is of no use
		return
	}
	closeResponse(s.resp, errAbandoned)
}
