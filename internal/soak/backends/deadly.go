package backends

import (
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// DeadlyBody is the body of a request that ends each server that begins to run it.
	DeadlyBody = "this ends servers"
	// ended is the trouble of a server that such a request ended, and backAfter how long it lasts: the
	// servers of the users are back after seconds, a short run has not as many.
	ended     history.Kind = "server-ends"
	backAfter              = 400 * time.Millisecond
)

// endedUnder notes that a server has ended under a request, and starts it again after a while.
func (f *Fleet) endedUnder(e *standin.BackendServer, id string) {
	over := f.Record.Trouble(ended, history.OnServer, e.ID)
	end := history.End{At: f.Record.Now(), Server: e.ID, Request: id}
	f.Record.Add(func(h *history.History) { h.Ends = append(h.Ends, end) })
	f.Group.Go(func() error {
		defer over()
		if !pause.For(f.Context, f.Clock, backAfter) {
			return nil
		}
		return f.revive(e)
	})
}

// revive starts a server again that has ended, if its slot is still its own. If another server has it,
// it was leaving; if a later start of the same server has it, the entry is that one's.
func (f *Fleet) revive(e *standin.BackendServer) error {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	s := f.slotOf(e)
	switch {
	case s == nil:
		e.Deregister()
		return nil
	case s.server != e:
		return nil
	}
	if err := f.startAgain(s, e); err != nil {
		return err
	}
	again := history.Restart{Server: e.ID, Acked: f.Record.Now()}
	f.Record.Add(func(h *history.History) { h.Restarts = append(h.Restarts, again) })
	return nil
}

// slotOf returns the slot that a server has, in whichever of its starts, or nil.
func (f *Fleet) slotOf(e *standin.BackendServer) *slot {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.slots {
		if s.server.ID == e.ID {
			return s
		}
	}
	return nil
}
