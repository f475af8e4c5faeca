package box

import (
	"context"
	"time"
)

// registerAgain is the pause before the box enters itself in the store again after
// a failure.
const registerAgain = time.Second

// register enters this box in the store and learns the others, until it worked once.
func (b *Box) register(ctx context.Context) error {
	for {
		err := b.Platform.Boxes.PutBox(ctx, b.self())
		if err == nil {
			err = b.learnBoxes(ctx)
		}
		if err == nil {
			return nil
		}
		b.Logger.Warn("box could not be entered in the store", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-b.Clock.After(registerAgain):
		}
	}
}

func (b *Box) learnBoxes(ctx context.Context) error {
	boxes, err := b.Platform.Boxes.Boxes(ctx)
	if err != nil {
		return err
	}
	b.most(len(boxes))
	b.node.AddBoxes(boxes)
	return nil
}
