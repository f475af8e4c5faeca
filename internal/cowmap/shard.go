package cowmap

import (
	"cmp"
	"slices"
)

// shard holds the entries whose key hashes have the same remainder, sorted by key. It is never
// modified once it is part of a map. A nil shard is empty.
type shard[V comparable] struct {
	entries []entry[V]
}

// entry is a key with its value.
type entry[V comparable] struct {
	key   string
	value V
}

// find returns the index of a key, and whether it exists.
func (s *shard[V]) find(key string) (at int, found bool) {
	if s == nil {
		return 0, false
	}
	return slices.BinarySearchFunc(s.entries, key, func(e entry[V], key string) int { return cmp.Compare(e.key, key) })
}

// get returns the value of a key.
func (s *shard[V]) get(key string) (value V, ok bool) {
	at, found := s.find(key)
	if !found {
		return value, false
	}
	return s.entries[at].value, true
}

// set sets the value of a key, and reports whether the key is new.
func (s *shard[V]) set(key string, value V) (added bool) {
	at, found := s.find(key)
	if found {
		s.entries[at].value = value
		return false
	}
	s.entries = slices.Insert(s.entries, at, entry[V]{key: key, value: value})
	return true
}

// remove removes an existing key.
func (s *shard[V]) remove(key string) {
	at, _ := s.find(key)
	s.entries = slices.Delete(s.entries, at, at+1)
}

// clone returns a copy that may be modified, with capacity for one more entry.
func (s *shard[V]) clone() *shard[V] {
	if s == nil {
		return &shard[V]{}
	}
	return &shard[V]{entries: append(make([]entry[V], 0, len(s.entries)+1), s.entries...)}
}

// visit yields the entries, and reports whether the iteration should continue.
func (s *shard[V]) visit(yield func(string, V) bool) bool {
	if s == nil {
		return true
	}
	for i := range s.entries {
		if !yield(s.entries[i].key, s.entries[i].value) {
			return false
		}
	}
	return true
}
