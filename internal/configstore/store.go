// Package configstore accepts whole fleet files into the object API.
//
// Each accepted file is an immutable content object that names its predecessor; one pointer object
// names the newest. A file is accepted by a single conditional write of the pointer, so that of
// several concurrent operators one wins and the others get a conflict. Versions only rise; a
// rollback is a new version with old content.
package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/objectapi"
)

// Kinds of objects.
const (
	PointerKind = "fleet-pointer"
	ContentKind = "fleet-content"
	DeltaKind   = "fleet-delta"
	pointerName = "current"
)

const (
	maxMarks         = 8
	maxSettleRetries = 6
	settleDelay      = 200 * time.Millisecond
)

// ConflictError means that another operator's file was accepted first.
type ConflictError struct {
	expected uint64
	current  uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the fleet is at version %d, not %d: another apply came first", e.current, e.expected)
}

// Current returns the version that is in the store.
func (e *ConflictError) Current() uint64 { return e.current }

// Pointer names the newest accepted file.
type Pointer struct {
	Version uint64 `json:"version"`
	Content string `json:"content"`
	// Marks are those of the last writes, newest first, so that a writer whose answer was lost can
	// find its own.
	Marks []string `json:"marks"`
}

// Content is one accepted file.
type Content struct {
	Version  uint64    `json:"version"`
	Previous string    `json:"previous,omitempty"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// YAML is the file as the operator wrote it.
	YAML string `json:"yaml"`
}

// Store accepts and reads fleet files. Set the exported fields before use.
type Store struct {
	API   objectapi.Objects
	Clock clockwork.Clock
}

// Current reads the pointer. Before the first apply it is the zero value.
func (s *Store) Current() (Pointer, uint64, error) {
	o, err := s.API.Get(PointerKind, pointerName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Pointer{}, 0, nil
	}
	if err != nil {
		return Pointer{}, 0, fmt.Errorf("read fleet pointer: %w", err)
	}
	p, err := ReadPointer(o.Value)
	return p, o.Version, err
}

// ReadPointer parses the value of the pointer object.
func ReadPointer(value []byte) (Pointer, error) {
	var p Pointer
	if err := json.Unmarshal(value, &p); err != nil {
		return p, fmt.Errorf("read fleet pointer: %w", err)
	}
	return p, nil
}

// Content reads one accepted file by the name in a pointer or a successor.
func (s *Store) Content(name string) (Content, error) {
	var c Content
	o, err := s.API.Get(ContentKind, name)
	if err != nil {
		return c, fmt.Errorf("read fleet content %s: %w", name, err)
	}
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return c, fmt.Errorf("read fleet content %s: %w", name, err)
	}
	return c, nil
}

// Apply accepts a file as the version after expect, and returns the new version. After a lost
// answer the store is read again, so that a nil error means accepted and an error means not
// accepted, unless the store stays unavailable.
func (s *Store) Apply(yaml []byte, by string, expect uint64) (uint64, error) {
	file, err := fleetfile.Parse(yaml)
	if err != nil {
		return 0, err
	}
	p, objectVersion, err := s.Current()
	if err != nil {
		return 0, err
	}
	if p.Version != expect {
		return 0, &ConflictError{expected: expect, current: p.Version}
	}
	mark := uuid.NewString()
	next := Pointer{
		Version: p.Version + 1,
		Content: fmt.Sprintf("%010d-%s", p.Version+1, mark),
		Marks:   append([]string{mark}, p.Marks...),
	}
	next.Marks = next.Marks[:min(len(next.Marks), maxMarks)]
	content := Content{
		Version: next.Version, Previous: p.Content, By: by, At: s.Clock.Now().UTC(), YAML: string(yaml),
	}
	if err := s.putContent(ContentKind, next.Content, &content); err != nil {
		return 0, err
	}
	if err := s.putDelta(&p, &next, file); err != nil {
		return 0, err
	}
	return next.Version, s.movePointer(&next, mark, objectVersion, expect)
}

// putDelta writes the difference between the file and its predecessor, so that readers of the
// predecessor need not read the whole file. The first file has none.
func (s *Store) putDelta(from, to *Pointer, file *fleetfile.File) error {
	if from.Version == 0 {
		return nil
	}
	before, err := s.Content(from.Content)
	if err != nil {
		return err
	}
	oldFile, err := fleetfile.Parse([]byte(before.YAML))
	if err != nil {
		return fmt.Errorf("accepted version %d: %w", from.Version, err)
	}
	old, err := fleetdelta.FromFile(from.Version, oldFile)
	if err != nil {
		return err
	}
	state, err := fleetdelta.FromFile(to.Version, file)
	if err != nil {
		return err
	}
	return s.putContent(DeltaKind, to.Content, state.Since(old))
}

// Delta reads what an accepted file changed, by the name of its content.
func (s *Store) Delta(name string) (*fleetdelta.Delta, error) {
	o, err := s.API.Get(DeltaKind, name)
	if err != nil {
		return nil, fmt.Errorf("read fleet delta %s: %w", name, err)
	}
	d := &fleetdelta.Delta{}
	if err := json.Unmarshal(o.Value, d); err != nil {
		return nil, fmt.Errorf("read fleet delta %s: %w", name, err)
	}
	return d, nil
}

// putContent writes an object under a name that is unique to this writer, so that writing it again
// does no harm.
func (s *Store) putContent(kind, name string, c any) error {
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("write fleet content: %w", err)
	}
	for try := 0; ; try++ {
		_, err = s.API.Create(kind, name, value)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return nil
		}
		if try == maxSettleRetries || !errors.Is(err, objectapi.ErrUncertain) && !errors.Is(err, objectapi.ErrUnavailable) {
			return fmt.Errorf("write fleet content, nothing was accepted: %w", err)
		}
		<-s.Clock.After(settleDelay << try)
	}
}

// movePointer makes the write that accepts the file.
func (s *Store) movePointer(next *Pointer, mark string, objectVersion, expect uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("write fleet pointer: %w", err)
	}
	for try := 0; ; try++ {
		_, err = s.API.Update(PointerKind, pointerName, value, objectVersion)
		if err == nil {
			return nil
		}
		settled, mine, current := s.settle(mark)
		switch {
		case settled && mine:
			return nil
		case settled && current.Version != expect:
			return &ConflictError{expected: expect, current: current.Version}
		case try == maxSettleRetries:
			return fmt.Errorf("write fleet pointer, whether it was accepted is not known; see 'get': %w", err)
		}
		<-s.Clock.After(settleDelay << try)
	}
}

// settle reads back whether the write with this mark took effect. settled is set if the store
// answered; if the pointer is still at the old object version, the write has not taken effect and
// may be retried under the same condition.
func (s *Store) settle(mark string) (settled, mine bool, current Pointer) {
	p, _, err := s.Current()
	if err != nil {
		return false, false, p
	}
	for _, m := range p.Marks {
		if m == mark {
			return true, true, p
		}
	}
	return true, false, p
}

// History returns the accepted files, newest first, at most limit.
func (s *Store) History(limit int) ([]Content, error) {
	p, _, err := s.Current()
	if err != nil {
		return nil, err
	}
	var out []Content
	for name := p.Content; name != "" && len(out) < limit; {
		c, err := s.Content(name)
		if errors.Is(err, objectapi.ErrNotFound) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, c)
		name = c.Previous
	}
	return out, nil
}

// Version returns the accepted file of a version.
func (s *Store) Version(version uint64) (Content, error) {
	p, _, err := s.Current()
	if err != nil {
		return Content{}, err
	}
	for name := p.Content; name != ""; {
		c, err := s.Content(name)
		if err != nil {
			return c, err
		}
		if c.Version == version {
			return c, nil
		}
		name = c.Previous
	}
	return Content{}, fmt.Errorf("version %d: %w", version, objectapi.ErrNotFound)
}
