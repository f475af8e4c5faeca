// Package plain is a stand-in for an application server beside the engines.
//
// It echoes what it was asked, counts how often each request id was run, and can
// be told to answer late, drop answers after running, or cut them short.
package plain

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/standin/fault"
)

// RunsPath answers with the number of runs and of repeated runs.
const RunsPath = "/standin/runs"

const requestHeader = "X-Request-Id"

// Server is one stand-in. Set the exported fields before Run.
type Server struct {
	// Name is echoed in answers.
	Name string
	// Delay is the time of one call.
	Delay time.Duration
	// Clock gives the time.
	Clock clockwork.Clock
	// Faults tells the server to misbehave.
	Faults fault.Switch

	mu       sync.Mutex
	runs     map[string]int
	total    int
	repeated int
}

// answer is the body of each answer.
type answer struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	Run    int    `json:"run"`
}

// runCounts is the answer of RunsPath.
type runCounts struct {
	Total    int `json:"total"`
	Repeated int `json:"repeated"`
}

// Run serves on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.runs = make(map[string]int)
	s.mu.Unlock()
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: s.handle})
}

// Counts returns how many calls were run, and how many of them, reads aside, ran an id
// again.
func (s *Server) Counts() (total, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.repeated
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.Faults.Misbehave(ctx, s.Clock) {
		return
	}
	if string(ctx.Path()) == RunsPath {
		total, repeated := s.Counts()
		write(ctx, runCounts{Total: total, Repeated: repeated})
		return
	}
	<-s.Clock.After(s.Delay)
	run := s.count(string(ctx.Request.Header.Peek(requestHeader)), ctx.IsGet())
	if s.Faults.LoseAnswer() {
		fault.DropAnswer(ctx)
		return
	}
	ctx.Response.Header.SetBytesV(requestHeader, ctx.Request.Header.Peek(requestHeader))
	write(ctx, answer{
		Server: s.Name,
		Method: string(ctx.Method()),
		Path:   string(ctx.Path()),
		Body:   string(ctx.PostBody()),
		Run:    run,
	})
}

// count notes one run of a request id. Reads may be repeated; they are not counted as
// such.
func (s *Server) count(id string, read bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[id]++
	if s.runs[id] > 1 && !read {
		s.repeated++
	}
	return s.runs[id]
}

func write(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}
