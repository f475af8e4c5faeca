package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// Try is one request at one server. One of its methods is called when that ends; ServerEnded may
// also follow Over. A nil Try notes nothing.
type Try struct {
	book        *Book
	fingerprint fingerprint.Fingerprint
	account     string
	// alone is set when no other server is given the request meanwhile.
	alone atomic.Bool
}

// Answered notes that the server has given its whole answer, so that the request does not end it.
func (t *Try) Answered() {
	if t == nil {
		return
	}
	t.book.answeredWell(t.fingerprint)
	t.settle()
}

// ServerEnded notes that the server has ended while it ran the request, and how that is known.
func (t *Try) ServerEnded(server, how string) {
	if t == nil {
		return
	}
	t.book.ended(t.fingerprint, t.account, server, how)
	t.settle()
}

// Over notes an end that says nothing of the request.
func (t *Try) Over() {
	if t != nil {
		t.settle()
	}
}

// settle lets another server be given the request.
func (t *Try) settle() {
	if !t.alone.Swap(false) {
		return
	}
	b := t.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.trails[t.fingerprint]; known != nil && !known.triedUntil.IsZero() {
		known.triedUntil = time.Time{}
		b.tell(known)
	}
}
