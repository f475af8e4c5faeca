// Package kvcache counts the blocks of an engine stand-in's memory.
//
// Whole blocks of a prompt are shared between streams with the same prefix and
// stay cached after use until their room is needed. Invariant: free, private,
// shared in use and cached blocks add up to the total.
package kvcache

import (
	"container/list"

	"github.com/dalebend/dalebend/internal/invariant"
)

// Cache is the memory of one engine. It is not safe for concurrent use.
type Cache struct {
	total    int
	free     int
	private  int
	blocks   map[uint64]*block
	unused   *list.List
	onStored func(hash uint64)
	onGone   func(hash uint64)
}

// block is a shared block of a prompt prefix.
type block struct {
	hash uint64
	refs int
	elem *list.Element
}

// New returns a cache of total blocks. The callbacks hear of prefixes that come
// and go; either may be nil.
func New(total int, onStored, onGone func(hash uint64)) *Cache {
	nothing := func(uint64) {}
	if onStored == nil {
		onStored = nothing
	}
	if onGone == nil {
		onGone = nothing
	}
	return &Cache{
		total:    total,
		free:     total,
		blocks:   make(map[uint64]*block),
		unused:   list.New(),
		onStored: onStored,
		onGone:   onGone,
	}
}

// InUse returns the blocks that running streams hold.
func (c *Cache) InUse() int { return c.total - c.free - c.unused.Len() }

// Total returns the blocks of the engine.
func (c *Cache) Total() int { return c.total }

// Hits returns how many leading blocks of a prompt are present.
func (c *Cache) Hits(prompt []uint64) int {
	for i, h := range prompt {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prompt)
}

// Acquire takes the blocks of a prompt and some private ones, all or nothing.
func (c *Cache) Acquire(prompt []uint64, private int) bool {
	missing, idle := 0, 0
	for _, h := range prompt {
		b := c.blocks[h]
		switch {
		case b == nil:
			missing++
		case b.refs == 0:
			idle++
		}
	}
	if missing+private > c.free+c.unused.Len()-idle {
		return false
	}
	for _, h := range prompt {
		c.hold(h)
	}
	for _, h := range prompt {
		c.store(h)
	}
	for range private {
		c.takeFree()
	}
	c.private += private
	return true
}

// hold takes a reference to a block that is present, so that it is not evicted.
func (c *Cache) hold(h uint64) {
	b := c.blocks[h]
	if b == nil {
		return
	}
	if b.refs == 0 {
		c.unused.Remove(b.elem)
		b.elem = nil
	}
	b.refs++
}

// store adds a block that is absent, with one reference.
func (c *Cache) store(h uint64) {
	if c.blocks[h] != nil {
		return
	}
	c.takeFree()
	c.blocks[h] = &block{hash: h, refs: 1}
	c.onStored(h)
}

// Grow takes one more private block.
func (c *Cache) Grow() bool {
	if c.free == 0 && c.unused.Len() == 0 {
		return false
	}
	c.takeFree()
	c.private++
	return true
}

// takeFree makes one block the caller's, evicting the longest unused prefix.
func (c *Cache) takeFree() {
	if c.free > 0 {
		c.free--
		return
	}
	e := c.unused.Front()
	invariant.Check(e != nil, "kv-room", "no block is free or unused")
	b, _ := c.unused.Remove(e).(*block)
	delete(c.blocks, b.hash)
	c.onGone(b.hash)
}

// Release gives back what Acquire and Grow took.
func (c *Cache) Release(prompt []uint64, private int) {
	for _, h := range prompt {
		b := c.blocks[h]
		b.refs--
		if b.refs == 0 {
			b.elem = c.unused.PushBack(b)
		}
	}
	c.private -= private
	c.free += private
	invariant.Check(c.private >= 0 && c.free <= c.total, "kv-balance",
		"private %d free %d total %d", c.private, c.free, c.total)
}
