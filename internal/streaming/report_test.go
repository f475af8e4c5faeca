package streaming_test

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/hop"
	"github.com/dalebend/dalebend/internal/registry"
)

// errSilence is an engine that does not say whether it leaves.
var errSilence = errors.New("no answer")

// Report answers whether an engine leaves.
func (f *fleet) Report(_ context.Context, s *registry.Server) (hop.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[s.Name()]
	f.note("%s is asked: %s", s.ID, e.leaves)
	switch e.leaves {
	case "soon":
		return hop.Report{Born: e.born, Leaving: true, LeavesIn: time.Second}, nil
	case "nothing":
		return hop.Report{}, errSilence
	default:
		return hop.Report{Born: e.born}, nil
	}
}
