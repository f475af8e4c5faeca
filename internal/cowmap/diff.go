package cowmap

import "iter"

// Difference is how one key differs between two maps.
type Difference[V comparable] struct {
	Key string
	// From and To are its values; Had and Has report whether it has one.
	From, To V
	Had, Has bool
}

// Diff iterates, in no particular order, over the keys whose values differ between two maps. Shards
// shared by both maps are skipped.
func Diff[V comparable](from, to Map[V]) iter.Seq[Difference[V]] {
	return func(yield func(Difference[V]) bool) {
		for i := range shardCount {
			a, b := from.shard(i), to.shard(i)
			if a != b && !diffShards(a, b, yield) {
				return
			}
		}
	}
}

// diffShards yields the keys that differ, and reports whether the iteration should continue.
func diffShards[V comparable](from, to *shard[V], yield func(Difference[V]) bool) bool {
	removed := from.visit(func(key string, value V) bool {
		if _, has := to.get(key); has {
			return true
		}
		return yield(Difference[V]{Key: key, From: value, Had: true})
	})
	return removed && to.visit(func(key string, value V) bool {
		old, had := from.get(key)
		if had && old == value {
			return true
		}
		return yield(Difference[V]{Key: key, From: old, To: value, Had: had, Has: true})
	})
}
