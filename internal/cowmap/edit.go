package cowmap

// Edit collects changes to a map. The zero value starts from an empty map. It is not safe for
// concurrent use.
type Edit[V comparable] struct {
	base Map[V]
	// changed holds copies of the changed shards, by index.
	changed map[int]*shard[V]
	size    int
}

// Set sets the value of a key.
func (e *Edit[V]) Set(key string, value V) {
	index := shardOf(key)
	if old, known := e.shard(index).get(key); known && old == value {
		return
	}
	if e.writable(index).set(key, value) {
		e.size++
	}
}

// Delete removes a key.
func (e *Edit[V]) Delete(key string) {
	index := shardOf(key)
	if _, known := e.shard(index).get(key); !known {
		return
	}
	e.writable(index).remove(key)
	e.size--
}

// Map returns the map with the changes. The edit must not be used afterwards.
func (e *Edit[V]) Map() Map[V] {
	if e.size == 0 {
		return Map[V]{}
	}
	if len(e.changed) == 0 {
		return e.base
	}
	var shards [shardCount]*shard[V]
	if e.base.shards != nil {
		shards = *e.base.shards
	}
	for index, s := range e.changed {
		if len(s.entries) == 0 {
			s = nil
		}
		shards[index] = s
	}
	return Map[V]{shards: &shards, size: e.size}
}

// shard returns the current shard at an index, nil if it is empty.
func (e *Edit[V]) shard(index int) *shard[V] {
	if s := e.changed[index]; s != nil {
		return s
	}
	return e.base.shard(index)
}

// writable returns a shard that may be modified.
func (e *Edit[V]) writable(index int) *shard[V] {
	if s := e.changed[index]; s != nil {
		return s
	}
	if e.changed == nil {
		e.changed = make(map[int]*shard[V])
	}
	s := e.base.shard(index).clone()
	e.changed[index] = s
	return s
}
