package streaming_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/registry"
)

// memory is a copy of a run's memory.
type memory struct {
	run int
	// at is the address of the engine that can resume from it, source that of the engine that stopped the
	// run, which can as well.
	at, source string
}

// Copy copies with the source's next configured outcome.
func (f *fleet) Copy(ctx context.Context, source *registry.Server, id, target string, stop bool) (string, error) {
	f.mu.Lock()
	e := f.engines[source.Name()]
	mode, held := next(&e.moves), e.held
	f.note("%s copies %s to %s stop=%t: %s", e.id, id, idAt(target), stop, mode)
	f.mu.Unlock()
	if rest, hangs := strings.CutPrefix(mode, "hang-"); hangs {
		mode = rest
		select {
		case <-held:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	stopped := false
	if rest, slow := strings.CutPrefix(mode, "slow-"); slow {
		mode, stopped = rest, stop
		if stop {
			e.newest().stop()
		}
		select {
		case <-held:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	return f.copied(source, target, mode, stop, stopped)
}

// copied copies the memory of the newest run of an engine, which is stopped already if stopped is set.
func (f *fleet) copied(source *registry.Server, target, mode string, stop, stopped bool) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.engines[source.Name()].newest()
	switch {
	case mode == "no-room":
		if !stop {
			return "", backend.ErrNoCapacity
		}
		mode = "kept"
	case mode == "made" && !stop:
		// It was copied before the generation finished.
		return "ahead", nil
	case mode == "not-running", s == nil, !s.active() && !stopped:
		return "", backend.ErrNotRunning
	case mode == "fail":
		return "", errCopy
	}
	if !stop {
		return "ahead", nil
	}
	s.stop()
	f.made++
	name := fmt.Sprintf("m%d", f.made)
	m := &memory{run: s.run, at: target, source: source.Addr}
	f.copies[source.Addr+"/"+name] = m
	switch mode {
	case "lost":
		return "", errCopy
	case "kept":
		m.at = source.Addr
		return name, backend.ErrNoCapacity
	}
	return name, nil
}

// Free releases a copy that the source named.
func (f *fleet) Free(ctx context.Context, source *registry.Server, name string) error {
	f.mu.Lock()
	f.note("%s frees %s", source.ID, name)
	mute := f.engines[source.ID].mute
	f.mu.Unlock()
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.copies, source.Addr+"/"+name)
	return nil
}
