package streaming

import (
	"github.com/dalebend/dalebend/internal/registry"
)

// move is a migration of a generation's memory to another engine.
type move struct {
	// done is closed when the move has succeeded or failed.
	done chan struct{}
	// stopping is set once the source may have stopped the generation.
	stopping bool
	// at is the copy to resume from, nil if the move failed.
	at *copyRef
	// tooLate is set when the generation finished before it could be stopped.
	tooLate bool
}

// copyRef refers to a copy of the generation's memory.
type copyRef struct {
	// server holds the copy; holder is the address of the engine that named it.
	server *registry.Server
	holder string
	name   string
	// retryTaken is set when the retry for resuming from the copy is already taken.
	retryTaken bool
	// counted is set when the server's admission limits were already applied.
	counted bool
	// source, if set, is the engine that stopped the generation and keeps its memory as well.
	source *registry.Server
}

// atSource returns the memory that the source keeps, or nil.
func (c *copyRef) atSource() *copyRef {
	if c == nil || c.source == nil {
		return nil
	}
	return &copyRef{server: c.source, holder: c.holder, name: c.name}
}
