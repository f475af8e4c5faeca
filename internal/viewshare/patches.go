package viewshare

import (
	"slices"
	"sync"

	"github.com/dalebend/dalebend/internal/docpatch"
)

// keptConfigs is the number of older configurations kept as bases of patches. Peers are rarely more
// than a few versions behind, and a configuration of a thousand routes takes 250 KB.
const keptConfigs = 4

// patches makes patches from older configuration documents to the newest one.
type patches struct {
	mu sync.Mutex
	// older holds the documents before the newest, in order.
	older []*config
	// encoded holds the patches to the document in to, by base version, 0 for none. Many peers ask
	// for the same patch when the configuration changes.
	encoded map[int64][]byte
	// to is the target document of encoded; nil before the first patch.
	to *config
}

// replaced records that a document is no longer the newest; nil is ignored.
func (p *patches) replaced(c *config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c == nil {
		return
	}
	p.older = append(p.older, c)
	if len(p.older) > keptConfigs {
		p.older = slices.Clone(p.older[1:])
	}
}

// patch returns the patch to the newest document and its base version: have if that is kept, else
// 0.
func (p *patches) patch(newest *config, have int64) ([]byte, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	doc, base := p.base(newest, have)
	if p.to != newest {
		p.to, p.encoded = newest, make(map[int64][]byte)
	}
	if data := p.encoded[base]; data != nil {
		return data, base, nil
	}
	data, err := docpatch.Encode(doc, newest.doc)
	if err != nil {
		return nil, 0, err
	}
	p.encoded[base] = data
	return data, base, nil
}

// base returns the document of a version and that version, or nil and 0 if it is not kept. A caller with
// the newest version lacks its era, and most probably has the same document.
func (p *patches) base(newest *config, version int64) ([]byte, int64) {
	if newest.table.Version() == version {
		return newest.doc, version
	}
	for _, c := range slices.Backward(p.older) {
		if c.table.Version() == version {
			return c.doc, version
		}
	}
	return nil, 0
}
