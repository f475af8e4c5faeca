package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/standin/sampletext"
)

const (
	pathCompletions = "/v1/completions"
	pathGenerations = "/v1/generations/"
	loadHeader      = "Endpoint-Load-Metrics"
	requestHeader   = "X-Request-Id"
	readerHeader    = "Stream-Reader"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
}

// handle is the HTTP interface.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if e.Faults.Misbehave(ctx, e.Clock) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathCompletions && ctx.IsPost():
		e.handleCompletion(ctx)
	case strings.HasPrefix(path, pathGenerations):
		e.handleGeneration(ctx, strings.TrimPrefix(path, pathGenerations))
	case path == "/v1/load":
		writeJSON(ctx, e.report.Load())
	case path == "/v1/cache-events":
		e.handleEvents(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		e.handleOrder(ctx)
	case path == "/v1/state":
		writeJSON(ctx, e.orders.state())
	case path == "/healthz":
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	in := &completionRequest{}
	if err := json.Unmarshal(ctx.PostBody(), in); err != nil {
		ctx.Error(fmt.Sprintf("read request: %v", err), fasthttp.StatusBadRequest)
		return
	}
	if in.RequestID == "" || !in.Stream {
		ctx.Error("request_id and stream are needed", fasthttp.StatusBadRequest)
		return
	}
	if e.stats.draining.Load() {
		ctx.Error("engine is draining", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Retry-After", "1")
		return
	}
	base, _, _ := strings.Cut(in.Model, ":")
	if !e.orders.holds(base) {
		ctx.Error("model is not loaded", fasthttp.StatusNotFound)
		return
	}
	s := newSequence(in)
	e.mu.Lock()
	if e.sequences[s.id] != nil {
		e.mu.Unlock()
		ctx.Error("request_id is in use", fasthttp.StatusConflict)
		return
	}
	if (s.promptN+s.target)/blockTokens+1 > e.kv.Total() {
		s.target = max(1, e.kv.Total()*blockTokens-s.promptN-blockTokens)
		s.limited = true
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.sequences[s.id] = s
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	e.stats.started.Add(1)
	e.poke()
	e.serveEvents(ctx, s, 0)
}

// handleGeneration serves resume, pause and cancel of one generation.
func (e *Engine) handleGeneration(ctx *fasthttp.RequestCtx, rest string) {
	id, verb, _ := strings.Cut(rest, "/")
	e.mu.Lock()
	s := e.sequences[id]
	e.mu.Unlock()
	if s == nil {
		ctx.Error("no such generation", fasthttp.StatusNotFound)
		return
	}
	switch string(ctx.Method()) + " " + verb {
	case "DELETE ":
		if !e.cancel(s, string(ctx.QueryArgs().Peek("reader"))) {
			ctx.Error("the generation has another reader", fasthttp.StatusConflict)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "POST pause":
		e.pause(s)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "POST resume":
		e.unpause(s)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case "GET events":
		e.resume(ctx, s)
	default:
		ctx.Error("no such verb", fasthttp.StatusMethodNotAllowed)
	}
}

// resume streams a generation after the offset that its reader has.
func (e *Engine) resume(ctx *fasthttp.RequestCtx, s *sequence) {
	_, after, _ := strings.Cut(string(ctx.Request.Header.Peek("Last-Event-ID")), ":")
	offset, err := strconv.ParseUint(after, 10, 32)
	if err != nil {
		ctx.Error("Last-Event-ID is not GENERATION:OFFSET", fasthttp.StatusBadRequest)
		return
	}
	e.unpause(s)
	e.serveEvents(ctx, s, int(offset))
}

// cancel ends a generation, unless it is read by another reader than the named.
func (e *Engine) cancel(s *sequence, reader string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reader != "" && reader != strconv.FormatUint(s.reader, 10) {
		return false
	}
	if s.ended() {
		return true
	}
	e.stop(s, seqCancelled)
	e.stats.cancelled.Add(1)
	return true
}

func (e *Engine) pause(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.state == seqRunning || s.state == seqWaiting {
		e.stop(s, seqPaused)
	}
}

func (e *Engine) unpause(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.state != seqPaused {
		return
	}
	s.state = seqWaiting
	e.waiting = append(e.waiting, s)
	e.poke()
}

// serveEvents streams the tokens after offset as server-sent events. A new
// reader takes the generation from an earlier one.
func (e *Engine) serveEvents(ctx *fasthttp.RequestCtx, s *sequence, offset int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(requestHeader, s.id)
	if b, err := json.Marshal(e.report.Load()); err == nil {
		ctx.Response.Header.Set(loadHeader, "JSON "+string(b))
	}
	e.mu.Lock()
	s.reader++
	reader := s.reader
	s.detached = time.Time{}
	s.signal()
	e.mu.Unlock()
	ctx.Response.Header.Set(readerHeader, strconv.FormatUint(reader, 10))
	body, pipe := io.Pipe()
	ctx.SetBodyStream(body, -1)
	go func() {
		if e.writeEvents(bufio.NewWriter(pipe), s, reader, offset) {
			_ = pipe.Close()
			return
		}
		// An answer that is cut short must not look whole.
		_ = pipe.CloseWithError(io.ErrUnexpectedEOF)
	}()
}

// writeEvents writes until the end and reports whether the end was written.
func (e *Engine) writeEvents(w *bufio.Writer, s *sequence, reader uint64, offset int) bool {
	defer e.detach(s, reader)
	sent := 0
	for {
		e.mu.Lock()
		produced, ended, changed := s.produced, s.ended(), s.changed
		state, taken := s.state, s.reader != reader
		e.mu.Unlock()
		if taken || e.Faults.Get().Dead {
			return false
		}
		for offset < produced {
			offset++
			sent++
			writeToken(w, s, offset)
			if e.breaksAfter(w, sent) {
				return false
			}
		}
		if ended {
			writeEnd(w, s, state, offset)
			return w.Flush() == nil
		}
		if w.Flush() != nil {
			return false
		}
		select {
		case <-e.stopped:
			return false
		case <-changed:
		case <-e.Clock.After(keepAlive):
			_, _ = w.WriteString(": keep-alive\n\n")
			if w.Flush() != nil {
				return false
			}
		}
	}
}

// breaksAfter misbehaves as told after so many tokens, and reports whether the
// stream is to be cut.
func (e *Engine) breaksAfter(w *bufio.Writer, sent int) bool {
	f := e.Faults.Get()
	if f.CutEvery == 0 || sent%f.CutEvery != 0 {
		return false
	}
	_ = w.Flush()
	if f.StallMS == 0 {
		return true
	}
	<-e.Clock.After(f.Stall())
	return false
}

func writeToken(w *bufio.Writer, s *sequence, offset int) {
	text, _ := json.Marshal(sampletext.Token(s.seed, uint64(offset)))
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":\"text_completion\","+
		"\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":null}]}\n\n", s.id, offset, s.id, text)
}

func writeEnd(w *bufio.Writer, s *sequence, state seqState, offset int) {
	reason := "stop"
	switch {
	case state == seqCancelled:
		reason = "cancelled"
	case s.limited:
		reason = "length"
	}
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":\"text_completion\","+
		"\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":%q}],"+
		"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
		s.id, offset, s.id, reason, s.promptN, offset)
}

// detach notes when the last reader went away.
func (e *Engine) detach(s *sequence, reader uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reader == reader {
		s.detached = e.Clock.Now()
	}
}
