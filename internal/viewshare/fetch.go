package viewshare

import (
	"errors"
	"fmt"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/docpatch"
	"github.com/dalebend/dalebend/internal/storerev"
)

// errNotNewer means that a peer had nothing newer although its digest said so.
var errNotNewer = errors.New("peer has nothing newer")

// errRefused means that a peer's document cannot be decoded.
var errRefused = errors.New("peer's document was refused")

// Receive processes a peer's digest, and starts fetching what the peer has newer. It does not wait
// for the fetch.
func (s *Share) Receive(d *digest.Digest) {
	s.fetches.update(d, s.Clock.Now())
	for k, has := range [kinds]position{configKind: configPosition(d.Config()), viewKind: viewPosition(d.ViewRevision)} {
		if has.newer(s.held(kind(k))) {
			s.fetchNext(kind(k))
		}
	}
}

// fetchNext starts a fetch if one is needed and a peer may be asked.
func (s *Share) fetchNext(k kind) {
	job, wait := s.fetches.begin(k, s.held(k), requester{domain: s.Domain, grace: s.Grace}, s.Clock)
	if wait > 0 {
		s.Clock.AfterFunc(wait, func() { s.fetchNext(k) })
	}
	if job == nil {
		return
	}
	go func() {
		err := s.fetch(job)
		s.finish(job, err)
	}()
}

// finish records how a fetch ended, and starts the next one.
func (s *Share) finish(job *job, err error) {
	if err != nil {
		s.Logger.Warn("cannot fetch from peer", event.KeyKind, job.kind, event.KeyPeer, job.from.name, "err", err)
	}
	s.fetches.end(job, err, s.Clock.Now())
	s.fetchNext(job.kind)
}

func (s *Share) fetch(job *job) error {
	have := s.held(job.kind)
	if !job.want.newer(have) {
		return nil
	}
	if job.kind == configKind {
		return s.fetchConfig(job, have)
	}
	err := s.fetchView(job, have)
	if errors.Is(err, errMismatch) {
		s.Logger.Warn("asking for the whole view", event.KeyPeer, job.from.name, "err", err)
		return s.fetchView(job, position{})
	}
	return err
}

func (s *Share) fetchConfig(job *job, have position) error {
	doc, version, err := s.askConfig(job, have)
	if err != nil {
		return err
	}
	if err := s.applyConfig(doc, version.Era, job.from.name); err != nil {
		return fmt.Errorf("%w: version %d: %w", errRefused, version.Number, err)
	}
	if !s.held(configKind).newer(have) {
		return fmt.Errorf("%w: document has another version than %d", errNotNewer, version.Number)
	}
	return nil
}

// askConfig returns a peer's document and the version that the peer reports. It asks for the whole
// document if a patch does not fit.
func (s *Share) askConfig(job *job, have position) (doc []byte, version storerev.ConfigVersion, err error) {
	reply, err := job.ask(configMethod, have)
	if err != nil {
		return nil, version, err
	}
	version = storerev.ConfigVersion{Number: reply.Version, Era: reply.Era}
	job.want = configPosition(version)
	doc, err = s.patched(reply)
	if errors.Is(err, docpatch.ErrMismatch) && reply.Base != 0 {
		s.Logger.Warn("asking for the whole configuration", event.KeyPeer, job.from.name, "err", err)
		return s.askConfig(job, position{})
	}
	if err != nil {
		return nil, version, fmt.Errorf("%w: version %d: %w", errRefused, reply.Version, err)
	}
	return doc, version, nil
}

// patched returns the document that results from a reply.
func (s *Share) patched(reply *FetchReply) ([]byte, error) {
	if reply.Base == 0 {
		return docpatch.Decode(nil, reply.Data)
	}
	held := s.config.Load()
	if held == nil || held.table.Version() != reply.Base {
		return nil, fmt.Errorf("%w: it begins at version %d", docpatch.ErrMismatch, reply.Base)
	}
	return docpatch.Decode(held.doc, reply.Data)
}

func (s *Share) fetchView(job *job, have position) error {
	reply, err := job.ask(viewMethod, have)
	if err != nil {
		return err
	}
	data := reply.Data
	if reply.Packed {
		if data, err = docpatch.Decode(nil, data); err != nil {
			return fmt.Errorf("%w: revision %v: %w", errRefused, storerev.Revision(reply.Version), err)
		}
	}
	u, err := decode(data)
	if err != nil {
		return err
	}
	held := s.View()
	if held != nil && held.Revision >= u.Revision {
		return nil
	}
	view, err := u.apply(held, &s.sums)
	if err != nil {
		return err
	}
	s.applyView(view, viewSource{source: job.from.name, teller: job.from.name})
	return nil
}

// ask makes the call of a fetch.
func (j *job) ask(method string, have position) (*FetchReply, error) {
	reply := &FetchReply{}
	if err := j.peer.call(method, &FetchArgs{Have: have.number, Era: have.era}, reply); err != nil {
		return nil, err
	}
	if len(reply.Data) == 0 {
		return nil, fmt.Errorf("%w: it has %d", errNotNewer, reply.Version)
	}
	return reply, nil
}
