package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/schedule"
)

// sink takes the tokens of one answer.
type sink interface {
	// token takes one token.
	token(c engineclient.Chunk)
	// end takes the end mark of a whole answer.
	end(c engineclient.Chunk)
	// broken takes the error of an answer that will not be whole.
	broken(e *apierror.Error)
}

// step passes the generation's next token to the sink, or its end; it reports whether
// more will come.
func (g *generation) step(to sink) (more bool) {
	c, err := g.next()
	if err == nil {
		err = context.Cause(g.ctx)
	}
	if err != nil {
		g.breakOff(to, err)
		return false
	}
	if c.Finish != "" {
		g.complete(to, c)
		return false
	}
	g.relay.RecordDelivered(c.Generation, c.Offset)
	g.dispatch.RecordDelivered(c.Offset)
	if g.placement != nil {
		g.placement.Progress(int(c.Offset))
	}
	g.server.stats.tokens.Inc(1)
	to.token(c)
	return true
}

// complete ends a generation whose last chunk came: it is whole only with the end
// mark behind it.
func (g *generation) complete(to sink, c engineclient.Chunk) {
	if c.Finish == finishCut {
		g.ended = true
		g.breakOff(to, errors.New("the engine cancelled the generation"))
		return
	}
	if _, err := g.stream.Next(); !errors.Is(err, io.EOF) {
		g.breakOff(to, errors.New("the stream ended without its end mark"))
		return
	}
	g.ended = true
	g.ending = schedule.Finished
	g.dispatch.RecordAnswer()
	g.outcome = g.dispatch.Outcome()
	to.end(c)
}

// abandon ends a generation whose caller took no more of it.
func (g *generation) abandon() {
	g.cancel(errCallerGone)
	g.breakOff(nobody{}, errCallerGone)
}

// nobody is the sink of a caller that is gone.
type nobody struct{}

func (nobody) token(engineclient.Chunk) {}
func (nobody) end(engineclient.Chunk)   {}
func (nobody) broken(*apierror.Error)   {}

// breakOff tells the caller that the answer will not be whole, and why.
func (g *generation) breakOff(to sink, err error) {
	if cause := context.Cause(g.ctx); cause != nil {
		err = cause
		g.ending = schedule.Cancelled
	}
	g.dispatch.RecordLost()
	g.outcome = g.dispatch.Outcome()
	to.broken(failure(g.outcome, err.Error()))
}
