package cowmap

import "iter"

// Difference is how one key differs between two maps.
type Difference[V comparable] struct {
	Key string
	// From and To are its values, and Had and Has tell whether it has one.
	From, To V
	Had, Has bool
}

// Diff visits, in no order, the keys whose values differ from one map to another. Shards that both
// maps share are passed over.
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

// diffShards visits the keys that differ, and reports whether all were wanted.
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
