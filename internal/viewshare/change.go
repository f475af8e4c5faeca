package viewshare

import (
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// maxEarly bounds the changes that wait for earlier ones. Changes are sent one by one, and
// occasionally two of them are reordered.
const maxEarly = 8

// earlyChanges holds changes by their base revision.
type earlyChanges map[storerev.Revision]*update

// put keeps a change, unless too many are waiting.
func (e *earlyChanges) put(u *update) {
	if *e == nil {
		*e = make(earlyChanges)
	}
	if len(*e) < maxEarly {
		(*e)[u.Base] = u
	}
}

// next returns the change based on a revision, or nil, and drops all changes based on that revision
// or an earlier one.
func (e earlyChanges) next(revision storerev.Revision) *update {
	found := e[revision]
	for base := range e {
		if base <= revision {
			delete(e, base)
		}
	}
	return found
}

// publishChange passes the change from a base revision to a view to OnChange. viewMu must be held.
func (s *Share) publishChange(base storerev.Revision, v *registry.View) {
	u, err := newUpdate(&s.log, &s.sums, v, base)
	if err != nil {
		s.Logger.Error("cannot encode a change of the view", "err", err)
		return
	}
	parts, err := split(u, s.MaxChangeBytes)
	if err != nil {
		s.Logger.Error("cannot encode a change of the view", "err", err)
		return
	}
	for _, data := range parts {
		s.OnChange(data)
	}
}

// ReceiveChange applies a change, or part of one, sent by another box, whose name may be "". A change that is not based
// on the current view is kept until the changes before it arrive; missed changes are fetched once a
// peer's digest shows a newer revision.
func (s *Share) ReceiveChange(from string, data []byte) {
	u, err := decode(data)
	if err != nil {
		s.Logger.Warn("change of the view refused", "err", err)
		return
	}
	u.from = from
	if u.Parts > 1 {
		u = s.addPart(u)
	}
	for u != nil {
		u = s.applyChange(u)
	}
}

// addPart adds a part of a change, and returns the change once it is complete.
func (s *Share) addPart(u *update) *update {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if held := s.view.Load(); held != nil && u.Revision <= held.Revision {
		return nil
	}
	return s.parts.put(u)
}

// applyChange applies one change, and returns the next one if that has already arrived.
func (s *Share) applyChange(u *update) (next *update) {
	held := s.View()
	if held == nil || u.Revision <= held.Revision {
		return nil
	}
	if u.Base != held.Revision {
		s.keepEarly(u, held.Revision)
		return nil
	}
	view, err := u.apply(held, &s.sums)
	if err != nil {
		s.Logger.Warn("change of the view refused", "err", err)
		return nil
	}
	s.applyView(view, viewSource{source: SourceNote, teller: u.from})
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	return s.early.next(view.Revision)
}

// keepEarly keeps a change based on a revision after the held one.
func (s *Share) keepEarly(u *update, held storerev.Revision) {
	if u.Base <= held {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	s.early.put(u)
}
