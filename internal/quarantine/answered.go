package quarantine

import (
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

const (
	// answeredMemory is how long after a complete answer a request gets no history. A request
	// shared by many callers has been answered shortly before its server dies; one that crashes
	// servers never was.
	answeredMemory = 2 * time.Second
	// answeredSlots bounds the remembered answered requests, a power of two: at a hundred requests
	// a second per box, those of the last two seconds have a slot each in nine of ten cases, in 64
	// KB.
	answeredSlots = 2048
)

// answeredCache remembers recently answered requests. Two that share a slot evict each other: then
// an innocent request may get a history, which its next answer clears. The zero value is ready for
// use.
type answeredCache struct {
	slots []answeredRequest
}

// answeredRequest is a request that was answered.
type answeredRequest struct {
	fingerprint fingerprint.Fingerprint
	at          time.Time
}

func (p *answeredCache) add(f fingerprint.Fingerprint, now time.Time) {
	if p.slots == nil {
		p.slots = make([]answeredRequest, answeredSlots)
	}
	p.slots[f%answeredSlots] = answeredRequest{fingerprint: f, at: now}
}

func (p *answeredCache) has(f fingerprint.Fingerprint, now time.Time) bool {
	if p.slots == nil {
		return false
	}
	a := p.slots[f%answeredSlots]
	return a.fingerprint == f && now.Sub(a.at) < answeredMemory
}

// last returns when the request was last answered, the zero time if that is not known.
func (p *answeredCache) last(f fingerprint.Fingerprint) time.Time {
	if p.slots == nil || p.slots[f%answeredSlots].fingerprint != f {
		return time.Time{}
	}
	return p.slots[f%answeredSlots].at
}
