// Package viewshare keeps the newest known configuration and view of the backend servers, serves
// them to other boxes, and fetches newer ones from boxes that announce them in their digests.
//
// A box that cannot reach the store, or has just started, gets both from any peer. Invariant: the
// version of the configuration and the revision of the view never decrease. Both are ordered across eras
// of the store; see package storerev.
package viewshare

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/storerev"
)

// Share is safe for concurrent use. Set the exported fields before use.
type Share struct {
	// Decode parses a configuration document.
	Decode func(doc []byte) (*routetable.Table, error)
	Clock  clockwork.Clock
	// Logger logs refused documents and failing peers.
	Logger *slog.Logger
	// OnTable and OnView, if set, are called in order with each table and view that is taken. They
	// must not offer documents themselves.
	OnTable func(t *routetable.Table)
	OnView  func(v registry.View)
	// OnChange, if set, is called before OnView with the change from the previous view to one from
	// the store, in parts if it is large. Other boxes apply the parts with ReceiveChange. It must
	// not block.
	OnChange func(change []byte)
	// MaxChangeBytes is the maximum size of a part of a change in bytes; 0 means unlimited.
	MaxChangeBytes int
	// LinkMbps is the rate of this box's link in Mbit/s, which limits the whole documents sent to
	// peers; 0 means not stated.
	LinkMbps float64
	// Domain is the failure domain of this box, whose peers are asked first; empty if unknown.
	Domain string
	// Grace is how long a peer may be ahead before it is asked. A box whose own watch of the store
	// works gets most updates from it within that time; 0 asks at once.
	Grace time.Duration

	configMu sync.Mutex
	config   atomic.Pointer[config]
	// patches makes patches from older configurations to this one.
	patches patches

	viewMu     sync.Mutex
	view       atomic.Pointer[registry.View]
	viewSource atomic.Pointer[viewSource]
	// log holds the changes from older views to this one.
	log  changeLog
	sums checksums
	// early holds changes based on a later revision than the held one; parts holds incomplete
	// changes.
	early earlyChanges
	parts partial

	fetches fetches
	// pace limits the rate of whole documents sent to peers.
	pace pace
}

// viewSource is where the view came from.
type viewSource struct {
	source string
	// teller is the name of the box that sent it, "store", or "" if it is not known.
	teller string
}

// config is a configuration in both its forms, with its source.
type config struct {
	doc    []byte
	table  *routetable.Table
	source string
	// era is that of the store from which the document was last read.
	era int64
}

// version returns the version of the configuration; c may be nil.
func (c *config) version() storerev.ConfigVersion {
	if c == nil {
		return storerev.ConfigVersion{}
	}
	return storerev.ConfigVersion{Number: c.table.Version(), Era: c.era}
}

// Sources of a document; any other source is the name of a box.
const (
	// SourceStore is the source of documents read from the platform's store.
	SourceStore = "store"
	// SourceNote is the source of a view that results from a note of another box.
	SourceNote = "note"
)

// Table returns the newest configuration, or nil before the first.
func (s *Share) Table() *routetable.Table {
	if c := s.config.Load(); c != nil {
		return c.table
	}
	return nil
}

// View returns the newest view of the backend servers, or nil before the first. It must not be
// modified.
func (s *Share) View() *registry.View { return s.view.Load() }

// ConfigVersion returns the version of the newest configuration, zero before the first.
func (s *Share) ConfigVersion() storerev.ConfigVersion { return s.config.Load().version() }

// Sources returns where the table and the view came from: "store", "note", or the name of a box;
// empty before the first.
func (s *Share) Sources() (table, view string) {
	if c := s.config.Load(); c != nil {
		table = c.source
	}
	if from := s.viewSource.Load(); from != nil {
		view = from.source
	}
	return table, view
}

// Teller returns the name of the box that sent the view, "store" if this box read it itself, and "" if it
// is not known.
func (s *Share) Teller() string {
	if from := s.viewSource.Load(); from != nil {
		return from.teller
	}
	return ""
}

// OfferConfig takes a configuration document, read from the store in an era, if its version is newer than
// that of the held one. It keeps doc, which must not be modified afterwards. A document that cannot be
// decoded is logged and refused.
func (s *Share) OfferConfig(doc []byte, era int64) { _ = s.applyConfig(doc, era, SourceStore) }

// applyConfig is OfferConfig; it returns an error, already logged, if the document cannot be
// decoded.
func (s *Share) applyConfig(doc []byte, era int64, source string) error {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	held := s.config.Load()
	if held != nil && bytes.Equal(held.doc, doc) {
		s.raiseConfigEra(held, era)
		return nil
	}
	table, err := s.Decode(doc)
	if err != nil {
		s.logRefused(source, err)
		return err
	}
	next := &config{doc: doc, table: table, source: source, era: era}
	if held != nil && !next.version().Newer(held.version()) {
		return nil
	}
	s.config.Store(next)
	s.patches.replaced(held)
	s.fetches.progress(configKind)
	if s.OnTable != nil {
		s.OnTable(table)
	}
	return nil
}

// raiseConfigEra records that the store of a later era has the held document. configMu must be held.
func (s *Share) raiseConfigEra(held *config, era int64) {
	if era <= held.era {
		return
	}
	next := *held
	next.era = era
	s.config.Store(&next)
	s.fetches.progress(configKind)
}

// OfferView takes a view if its revision is higher than that of the held one. The view must not be
// modified afterwards.
func (s *Share) OfferView(v registry.View) {
	s.applyView(v, viewSource{source: SourceStore, teller: SourceStore})
}

func (s *Share) applyView(v registry.View, source viewSource) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	held := s.view.Load()
	if held != nil && v.Revision <= held.Revision {
		return
	}
	s.log.add(held, &v)
	if source.source == SourceStore && held != nil && s.OnChange != nil {
		s.publishChange(held.Revision, &v)
	}
	s.view.Store(&v)
	s.viewSource.Store(&source)
	s.fetches.progress(viewKind)
	if s.OnView != nil {
		s.OnView(v)
	}
}

// logRefused logs a document that cannot be decoded, whose version is therefore unknown.
func (s *Share) logRefused(source string, cause error) {
	s.Logger.LogAttrs(context.Background(), event.ConfigRefused.Level(), string(event.ConfigRefused),
		slog.String(event.KeySource, source), slog.String(event.KeyCause, cause.Error()))
}

// held returns the position of the document that this box has, zero for none.
func (s *Share) held(k kind) position {
	if k == configKind {
		return configPosition(s.ConfigVersion())
	}
	if v := s.View(); v != nil {
		return viewPosition(v.Revision)
	}
	return position{}
}
