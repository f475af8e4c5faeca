package viewshare

import (
	"sync"
	"time"
)

const (
	// defaultMbps is the assumed rate of a link that is not stated.
	defaultMbps = 100.0
	// paceRatio is the part of the link that whole documents may use; the rest is for requests.
	paceRatio = 0.5
	// maxAhead is how far ahead the link's time may be committed. Including the last document this
	// stays within callTimeout.
	maxAhead = 150 * time.Millisecond
)

// pace limits the rate at which a box sends whole documents. When all boxes of a large fleet start,
// each asks for them at once; without the limit the few boxes that have one would answer all, and
// no answer would arrive within the time of a call.
type pace struct {
	mu    sync.Mutex
	until time.Time
}

// take reports whether a document of a size may be sent now on a link of a rate, and counts it if
// so. A refused peer tries again at boxes that have received the document meanwhile.
func (p *pace) take(bytes int, linkMbps float64, now time.Time) bool {
	if linkMbps <= 0 {
		linkMbps = defaultMbps
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until.Sub(now) > maxAhead {
		return false
	}
	if p.until.Before(now) {
		p.until = now
	}
	seconds := float64(bytes) * 8 / (linkMbps * paceRatio * 1e6)
	p.until = p.until.Add(time.Duration(seconds * float64(time.Second)))
	return true
}
