// Package cowmap has an immutable map with string keys. A map that differs from another in a few
// entries shares the rest with it, so that making it, and finding what differs, takes time by the number
// of changes rather than by the size.
//
// Invariant: equal contents have equal representations, whatever led to them.
package cowmap

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of parts that are copied one by one. One of 10,000 entries holds 39.
const shardCount = 256

// Map is an immutable map from strings to values. The zero value is empty. It is safe for concurrent use.
type Map[V comparable] struct {
	// shards is nil for an empty map.
	shards *[shardCount]*shard[V]
	size   int
}

// Of returns a map with some entries.
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

// All visits the entries in no order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for i := range shardCount {
			if !m.shard(i).visit(yield) {
				return
			}
		}
	}
}

// Edit begins a map that differs from this one, which stays as it is.
func (m Map[V]) Edit() *Edit[V] { return &Edit[V]{base: m, size: m.size} }
