// Package fleetdelta tells one accepted fleet file from the next by what changed.
//
// A file is taken apart into entries, one for each named thing, so that a change
// of one account is a message of a few hundred bytes however large the fleet is.
// The digest over all entries proves that a box that followed the changes holds
// what the operator applied. The order of lists is not kept.
package fleetdelta

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/dalebend/dalebend/internal/fleetfile"
)

// State is a whole file as entries, with its version. It is immutable.
type State struct {
	version uint64
	digest  string
	entries map[string]json.RawMessage
}

// Delta turns the state of version Base into that of Version. Base 0 is the empty
// state: the delta is whole.
type Delta struct {
	Base    uint64
	Version uint64
	// Digest is that of the state after the change, in hex.
	Digest string
	// Set holds new and changed entries as JSON, by key.
	Set map[string][]byte
	// Removed holds the keys of entries that are gone.
	Removed []string
}

// FromFile takes a checked file apart.
func FromFile(version uint64, f *fleetfile.File) (*State, error) {
	whole, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("write fleet file: %w", err)
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(whole, &sections); err != nil {
		return nil, fmt.Errorf("take fleet file apart: %w", err)
	}
	entries := make(map[string]json.RawMessage)
	for name, raw := range sections {
		if err := split(entries, name, raw); err != nil {
			return nil, err
		}
	}
	return newState(version, entries), nil
}

// split adds a section's entries: SECTION for a value, SECTION/NAME for a list.
func split(entries map[string]json.RawMessage, section string, raw json.RawMessage) error {
	if len(raw) == 0 || raw[0] != '[' {
		entries[section] = raw
		return nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return fmt.Errorf("section %s: %w", section, err)
	}
	for _, item := range list {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(item, &named); err != nil {
			return fmt.Errorf("section %s: %w", section, err)
		}
		entries[section+"/"+named.Name] = item
	}
	return nil
}

func newState(version uint64, entries map[string]json.RawMessage) *State {
	h := sha256.New()
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		fmt.Fprintf(h, "%d %s %d %s\n", len(k), k, len(entries[k]), entries[k])
	}
	return &State{version: version, digest: hex.EncodeToString(h.Sum(nil)), entries: entries}
}

// Version returns the accepted version.
func (s *State) Version() uint64 { return s.version }

// Digest returns the digest of the entries, in hex.
func (s *State) Digest() string { return s.digest }

// File puts the fleet file together again, lists in the order of their names.
func (s *State) File() (*fleetfile.File, error) {
	sections := make(map[string]any)
	lists := make(map[string][]json.RawMessage)
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		section, _, listed := strings.Cut(k, "/")
		if listed {
			lists[section] = append(lists[section], s.entries[k])
			continue
		}
		sections[section] = s.entries[k]
	}
	for section, list := range lists {
		sections[section] = list
	}
	whole, err := json.Marshal(sections)
	if err != nil {
		return nil, fmt.Errorf("put fleet file together: %w", err)
	}
	f := &fleetfile.File{}
	if err := json.Unmarshal(whole, f); err != nil {
		return nil, fmt.Errorf("put fleet file together: %w", err)
	}
	return f, nil
}

// Since returns the delta from an older state; nil is the empty one.
func (s *State) Since(old *State) *Delta {
	d := &Delta{Version: s.version, Digest: s.digest, Set: make(map[string][]byte)}
	var before map[string]json.RawMessage
	if old != nil {
		d.Base = old.version
		before = old.entries
	}
	for k, v := range s.entries {
		if had, ok := before[k]; !ok || string(had) != string(v) {
			d.Set[k] = v
		}
	}
	for k := range before {
		if _, ok := s.entries[k]; !ok {
			d.Removed = append(d.Removed, k)
		}
	}
	slices.Sort(d.Removed)
	return d
}

// Apply returns the state after a delta. A delta on another base, or one whose
// result has another digest, is an error and changes nothing.
func Apply(old *State, d *Delta) (*State, error) {
	entries := make(map[string]json.RawMessage)
	var have uint64
	if old != nil {
		have = old.version
	}
	if d.Base != 0 {
		if d.Base != have {
			return nil, fmt.Errorf("delta is on version %d, this is version %d", d.Base, have)
		}
		maps.Copy(entries, old.entries)
	}
	for k, v := range d.Set {
		entries[k] = v
	}
	for _, k := range d.Removed {
		delete(entries, k)
	}
	s := newState(d.Version, entries)
	if s.digest != d.Digest {
		return nil, fmt.Errorf("version %d has digest %s, not %s", d.Version, s.digest, d.Digest)
	}
	return s, nil
}

// Size returns about how many bytes the delta takes on the wire.
func (d *Delta) Size() int {
	n := len(d.Digest)
	for k, v := range d.Set {
		n += len(k) + len(v)
	}
	for _, k := range d.Removed {
		n += len(k)
	}
	return n
}

// Changes names what the delta adds, changes and removes, for operators.
func (d *Delta) Changes(old *State) []string {
	out := make([]string, 0, len(d.Set)+len(d.Removed))
	for k := range d.Set {
		verb := "+ "
		if old != nil && old.entries[k] != nil {
			verb = "~ "
		}
		out = append(out, verb+k)
	}
	for _, k := range d.Removed {
		out = append(out, "- "+k)
	}
	slices.SortFunc(out, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return out
}
