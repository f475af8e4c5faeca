package controller

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/claim"
	"github.com/dalebend/dalebend/internal/control"
)

const (
	// claimTime bounds one claim; a caller should hear soon that nothing was run.
	claimTime = 2 * time.Second
	// ownerTime bounds the part of it that the shard's owner may take.
	ownerTime = 800 * time.Millisecond
)

// claim answers a claim. The shard's owner writes it, so that the claims of all
// boxes share its writes; when the owner does not answer, this box writes it itself.
func (c *Controller) claim(ctx context.Context, args *control.ClaimArgs) control.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	key := claim.NewKey(args.Account, args.Key)
	if owner, other := c.members.shardOwner(key.Shard()); other && !args.Direct {
		reply := control.ClaimReply{}
		direct := *args
		direct.Direct = true
		client := c.peers.claimClient(owner.Control)
		if err := client.Call(ctx, control.MethodClaim, &direct, &reply, ownerTime); err == nil {
			return reply
		}
		// The owner may have written the claim: writing it here again then finds it
		// taken, which is safe.
		c.count("controller.claim_owner_silent")
	}
	if args.Release {
		c.ledger.Release(ctx, key)
		return control.ClaimReply{Verdict: uint8(claim.Granted)}
	}
	return control.ClaimReply{Verdict: uint8(c.ledger.Claim(ctx, key))}
}

// shardOwner returns the box that owns a shard of claims, and whether that is
// another one. Boxes whose lists differ may name different owners for a while.
func (m *members) shardOwner(shard int) (boxlist.Box, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, found := highest(m.boxes, claim.ShardName(shard))
	return best, found && best.Name != m.self
}
