// Package weightstore is a stand-in for the store of model weights. All readers
// together get one rate; the bytes are zeros.
package weightstore

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/standin/fault"
)

// Path is where weights are read, followed by the name of the model.
const Path = "/v1/weights/"

const (
	chunk = 1 << 20
	// DefaultSize is the size of a model's weights here.
	DefaultSize = 64 << 20
)

// Store is one stand-in. Set the exported fields before Run.
type Store struct {
	// Rate is in bytes a second.
	Rate int64
	// Size is the size of each model's weights; 0 takes the default.
	Size int64
	// Clock gives the time.
	Clock clockwork.Clock
	// Faults tells the store to misbehave.
	Faults fault.Switch

	limit *rate.Limiter
	reads atomic.Int64
}

// Run serves on the listener until ctx ends.
func (s *Store) Run(ctx context.Context, ln net.Listener) error {
	if s.Size == 0 {
		s.Size = DefaultSize
	}
	s.limit = rate.NewLimiter(rate.Limit(s.Rate), chunk)
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: s.handle})
}

// Reads returns how many reads were begun.
func (s *Store) Reads() int64 { return s.reads.Load() }

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if s.Faults.Misbehave(ctx, s.Clock) {
		return
	}
	s.reads.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		zeros := make([]byte, chunk)
		for left := s.Size; left > 0; {
			n := min(left, chunk)
			r := s.limit.ReserveN(s.Clock.Now(), int(n))
			<-s.Clock.After(r.DelayFrom(s.Clock.Now()))
			if _, err := w.Write(zeros[:n]); err != nil || w.Flush() != nil {
				return
			}
			left -= n
		}
	})
}

// Read reads a model's weights to the end, as an engine does.
func Read(addr, model string) error {
	client := &fasthttp.Client{StreamResponseBody: true}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + Path + model)
	if err := client.Do(req, resp); err != nil {
		return fmt.Errorf("read weights of %s: %w", model, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("read weights of %s: status %d", model, resp.StatusCode())
	}
	if _, err := io.Copy(io.Discard, resp.BodyStream()); err != nil {
		return fmt.Errorf("read weights of %s: %w", model, err)
	}
	return nil
}
