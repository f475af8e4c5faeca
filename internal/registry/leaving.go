package registry

import (
	"cmp"
	"time"
)

// defaultContinueGrace is the ContinueGrace if none is set.
const defaultContinueGrace = time.Second

func (d *Directory) continueGrace() time.Duration {
	return cmp.Or(d.ContinueGrace, defaultContinueGrace)
}

// MayContinue reports whether a request may be sent that continues work which a server holds: the server
// stays, or was known to stay within ContinueGrace. It takes no lock for a server that stays.
func (d *Directory) MayContinue(id string) bool {
	if d.Stays(id) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at, left := d.leftAt[id]
	return left && d.Clock.Since(at) < d.continueGrace()
}

// recordLeft records a member that may have left at any time since the given one. One whose entry had
// vanished before gets no grace. The lock must be held.
func (d *Directory) recordLeft(m *Member, since time.Time) {
	if !m.LapsesAt.IsZero() {
		return
	}
	if d.leftAt == nil {
		d.leftAt = make(map[string]time.Time)
	}
	d.leftAt[m.ID] = since
}

// staying returns until when the servers of the view were known to stay: the last confirmation of the view,
// or the return of the store, as no server can tell it anything during an outage.
func (d *Directory) staying(now time.Time) time.Time {
	if d.Confirmed == nil {
		return now
	}
	at := d.Confirmed()
	if at.IsZero() || at.After(now) {
		return now
	}
	if returned := d.StoreReturned(); returned.After(at) {
		return returned
	}
	return at
}

// pruneLeft forgets the servers that left longer than ContinueGrace ago. The lock must be held.
func (d *Directory) pruneLeft(now time.Time) {
	for id, at := range d.leftAt {
		if now.Sub(at) >= d.continueGrace() {
			delete(d.leftAt, id)
		}
	}
}
