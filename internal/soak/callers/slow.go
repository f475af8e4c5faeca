package callers

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// slowBody is the length that a slow caller states for its body, and slowSent what it sends of
	// it, in bytes: as much as a box keeps for one connection at the share that soaks set.
	slowBody = 400 << 10
	slowSent = 320 << 10
	// slowPiece is what it sends at once, and slowPause the pause after that.
	slowPiece = 16 << 10
	slowPause = 40 * time.Millisecond
	// slowWait is how long it holds on before it leaves.
	slowWait = 3 * time.Second
	// slowStream is what the generators of slow callers add to their seed.
	slowStream = 1 << 21
)

// CallSlowly sends bodies piece by piece, and never to their end, until the context ends. No server
// may see such a request, so that it isn't written down: one that arrives there was sent by nobody.
func (s *Callers) CallSlowly(ctx context.Context, number int) error {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(number)+slowStream))
	for n := 0; pause.For(ctx, s.Clock, time.Duration(rng.Int64N(int64(mostPause)))); n++ {
		s.slowly(ctx, s.Balancer.pick(rng), fmt.Sprintf("slow-%d-%d", number, n))
	}
	return nil
}

// slowly sends one such request, and leaves.
func (s *Callers) slowly(ctx context.Context, box *Box, id string) {
	ctx, cancel := clockctx.WithTimeout(ctx, s.Clock, slowWait)
	defer cancel()
	conn, err := standin.Dial(ctx, box.Front)
	if err != nil {
		s.Logger.Debug("slow caller cannot connect", "box", box.Name, "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // under a write that waits as well
	defer stop()
	_, err = conn.Send(standin.Call{
		ID: id, Key: operator.BaseKey, Method: http.MethodPost, Host: operator.OnceHost, URI: "/slow", Timeout: slowWait,
		Stream: &slowReader{ctx: ctx, clock: s.Clock, left: slowSent}, Length: slowBody,
	})
	s.Logger.Debug("slow caller leaves", "id", id, "error", err)
	_ = conn.Close() // perhaps closed already
}

// slowReader gives a body piece by piece, and then nothing until its context ends.
type slowReader struct {
	ctx   context.Context
	clock clockwork.Clock
	left  int
}

// Read gives the next piece after a pause.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		<-r.ctx.Done()
		return 0, io.ErrUnexpectedEOF
	}
	if !pause.For(r.ctx, r.clock, slowPause) {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, strings.Repeat("s", min(slowPiece, r.left)))
	r.left -= n
	return n, nil
}
