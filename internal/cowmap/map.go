// Package cowmap implements an immutable map with string keys. Maps that differ in a few entries
// share the rest, so that making a changed map, and finding the differences, costs time in
// proportion to the number of changes rather than the size.
//
// Invariant: equal contents have equal representations, however they were made.
package cowmap

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of parts that are copied individually. With 10,000 entries each holds
// 39.
const shardCount = 256

// Map is an immutable map from strings to values. The zero value is empty. It is safe for
// concurrent use.
type Map[V comparable] struct {
	// shards is nil for an empty map.
	shards *[shardCount]*shard[V]
	size   int
}

// Of returns a map with the given entries.
func Of[V comparable](entries map[string]V) Map[V] {
	var e Edit[V]
	for key, value := range entries {
		e.Set(key, value)
	}
	return e.Map()
}

// shardOf returns the index of the shard that holds a key.
func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// shard returns a shard by its index, nil if it is empty.
func (m Map[V]) shard(index int) *shard[V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[index]
}

// Len returns the number of entries.
func (m Map[V]) Len() int { return m.size }

// Get returns the value of a key.
func (m Map[V]) Get(key string) (value V, ok bool) {
	return m.shard(shardOf(key)).get(key)
}

// All iterates over the entries in no particular order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for i := range shardCount {
			if !m.shard(i).visit(yield) {
				return
			}
		}
	}
}

// Edit starts a changed copy of this map, which is not modified.
func (m Map[V]) Edit() *Edit[V] { return &Edit[V]{base: m, size: m.size} }
