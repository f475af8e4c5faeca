package fleetfeed

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/claim"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/peerrpc"
)

// claimTimeout is over the time that a controller takes for a claim at most.
const claimTimeout = 2500 * time.Millisecond

// Claims asks the controller of the same box for claims. Set the exported fields
// before use.
type Claims struct {
	// Controller is an rpc client of its own: a claim that runs out of time closes
	// its connection.
	Controller *peerrpc.Client
}

// Claim asks to run the call of a key. No answer is Unavailable.
func (c *Claims) Claim(ctx context.Context, account, key string) claim.Verdict {
	return c.ask(ctx, &control.ClaimArgs{Account: account, Key: key})
}

// Release gives a key back; when that fails the key stays taken, which is safe.
func (c *Claims) Release(ctx context.Context, account, key string) {
	c.ask(ctx, &control.ClaimArgs{Account: account, Key: key, Release: true})
}

func (c *Claims) ask(ctx context.Context, args *control.ClaimArgs) claim.Verdict {
	reply := &control.ClaimReply{}
	if err := c.Controller.Call(ctx, control.MethodClaim, args, reply, claimTimeout); err != nil {
		return claim.Unavailable
	}
	return claim.Verdict(reply.Verdict)
}
