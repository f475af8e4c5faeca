// Package boxlist is a stand-in for the platform's list of boxes. The list that it
// serves lags behind what it is told.
package boxlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/standin/fault"
)

// SetPath takes a whole list over HTTP.
const SetPath = "/standin/boxes"

// Server is one stand-in. Set the exported fields before Run.
type Server struct {
	// Lag is the time until a change is served.
	Lag time.Duration
	// Clock gives the time.
	Clock clockwork.Clock
	// Faults tells the list to misbehave.
	Faults fault.Switch

	mu      sync.Mutex
	served  boxlist.List
	pending []change
}

// change is a list that is not served yet.
type change struct {
	at    time.Time
	boxes []boxlist.Box
}

// Set replaces the list, after the lag.
func (s *Server) Set(boxes []boxlist.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{at: s.Clock.Now().Add(s.Lag), boxes: boxes})
}

// list returns what is served now.
func (s *Server) list() boxlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for len(s.pending) > 0 && !now.Before(s.pending[0].at) {
		s.served = boxlist.List{Revision: s.served.Revision + 1, Boxes: s.pending[0].boxes}
		s.pending = s.pending[1:]
	}
	return s.served
}

// Run serves on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: s.handle})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.Faults.Misbehave(ctx, s.Clock) {
		return
	}
	switch string(ctx.Path()) {
	case boxlist.Path:
		list := s.list()
		etag := fmt.Sprintf("\"%d\"", list.Revision)
		ctx.Response.Header.Set("ETag", etag)
		if string(ctx.Request.Header.Peek("If-None-Match")) == etag {
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
		ctx.SetContentType("application/json")
		_ = json.NewEncoder(ctx).Encode(list)
	case SetPath:
		var boxes []boxlist.Box
		if err := json.Unmarshal(ctx.PostBody(), &boxes); err != nil {
			ctx.Error(fmt.Sprintf("read boxes: %v", err), fasthttp.StatusBadRequest)
			return
		}
		s.Set(boxes)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
