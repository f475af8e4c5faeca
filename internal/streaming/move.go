package streaming

import (
	"github.com/dalebend/dalebend/internal/registry"
)

// move is a move of a generation's memory to another engine.
type move struct {
	// done is closed when the move succeeded or failed.
	done chan struct{}
	// stopping is set once the engine may have stopped the generation.
	stopping bool
	// at is where the generation goes on, nil if the move failed.
	at *copyAt
	// tooLate is set when the generation had ended by itself before it could be stopped.
	tooLate bool
}

// copyAt is a copy of the generation's memory.
type copyAt struct {
	// server holds it; holder is the address that it was named at.
	server *registry.Server
	holder string
	name   string
	// paid is set when the retry that goes on there is taken already.
	paid bool
	// counted is set when the engine's own words on what it takes were heeded already.
	counted bool
}
