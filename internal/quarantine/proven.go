package quarantine

import (
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

const (
	// provenFor is how long after a good answer a request gets no trail. A request that many
	// callers share has been answered well a moment before its server dies; one that ends servers
	// never was.
	provenFor = 2 * time.Second
	// provenSlots bounds the requests that are remembered as answered well, a power of two: at
	// the hundred a second of a box those of the last two seconds have a slot each in nine of
	// ten cases, in 64 KB.
	provenSlots = 2048
)

// proven remembers the requests that were answered well last. Two that share a slot push each other
// out: then an innocent one gets a trail, which its next good answer clears. The zero value is
// ready.
type proven struct {
	slots []answered
}

// answered is a request that was answered well.
type answered struct {
	fingerprint fingerprint.Fingerprint
	at          time.Time
}

func (p *proven) add(f fingerprint.Fingerprint, now time.Time) {
	if p.slots == nil {
		p.slots = make([]answered, provenSlots)
	}
	p.slots[f%provenSlots] = answered{fingerprint: f, at: now}
}

func (p *proven) has(f fingerprint.Fingerprint, now time.Time) bool {
	if p.slots == nil {
		return false
	}
	a := p.slots[f%provenSlots]
	return a.fingerprint == f && now.Sub(a.at) < provenFor
}
