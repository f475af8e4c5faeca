package viewshare

import (
	"hash/fnv"
	"sync"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/registry"
)

// checksums computes checksums of views. A view's checksum is the sum of those of its entries, so
// that it can be updated from the last view's by the changed entries only.
type checksums struct {
	mu sync.Mutex
	// servers are the entries of the last view, and sum is its checksum.
	servers cowmap.Map[registry.Server]
	sum     uint64
}

// of returns the checksum of a view, which is the same for equal views.
func (c *checksums) of(v *registry.View) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.sum
	for d := range cowmap.Diff(c.servers, v.Servers) {
		before, err := entryChecksum(d.From, d.Had)
		if err != nil {
			return 0, err
		}
		after, err := entryChecksum(d.To, d.Has)
		if err != nil {
			return 0, err
		}
		sum += after - before
	}
	c.servers, c.sum = v.Servers, sum
	return sum, nil
}

// entryChecksum returns the checksum of an entry, 0 for none.
func entryChecksum(server registry.Server, there bool) (uint64, error) {
	if !there {
		return 0, nil
	}
	data, err := encode(server)
	if err != nil {
		return 0, err
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64(), nil
}
