package inject

import (
	"slices"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// slowStore is the most that a slow store takes for an answer, and lateWrite how
	// late it does writes: seconds, as the users' pages say.
	slowStore = 800 * time.Millisecond
	lateWrite = 1500 * time.Millisecond
)

// Store lets the store fail. Of faults that overlap, the latest holds.
type Store struct {
	// Server is the store's stand-in.
	Server *standin.Store

	mu     sync.Mutex
	faults []*standin.Fault
}

// begin begins a fault and returns what ends it.
func (s *Store) begin(a schedule.Act) (mend func()) {
	if a.Kind == schedule.StoreForgets {
		s.Server.DropHistory()
		return func() {}
	}
	return s.fail(fault(a.Kind, a.Pick))
}

// fail begins a fault and returns what ends it.
func (s *Store) fail(f standin.Fault) (mend func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, &f)
	s.Server.SetFault(f)
	return func() { s.end(&f) }
}

func (s *Store) end(f *standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.DeleteFunc(s.faults, func(other *standin.Fault) bool { return other == f })
	if len(s.faults) == 0 {
		s.Server.SetFault(standin.Fault{})
		return
	}
	s.Server.SetFault(*s.faults[len(s.faults)-1])
}

// fault returns the fault of a kind; the pick draws the delay of a slow store.
func fault(kind history.Kind, pick int) standin.Fault {
	switch kind {
	case schedule.StoreBusy:
		return standin.Fault{Mode: standin.Busy}
	case schedule.StoreLimited:
		return standin.Fault{Mode: standin.Limited}
	case schedule.StoreSilent:
		return standin.Fault{Mode: standin.Silent}
	case schedule.StoreResets:
		return standin.Fault{Mode: standin.Reset}
	case schedule.StoreLoses:
		return standin.Fault{Mode: standin.LostAnswer}
	case schedule.StoreLate:
		return standin.Fault{Mode: standin.LateWrite, Delay: lateWrite}
	default:
		return standin.Fault{Delay: time.Duration(pick) * time.Millisecond % slowStore}
	}
}
