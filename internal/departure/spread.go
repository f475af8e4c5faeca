package departure

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/coalesce"
	"github.com/dalebend/dalebend/internal/periodic"
)

const (
	// sendInterval is how often Run checks whether a note is due.
	sendInterval = 100 * time.Millisecond
	// resendInterval is the time between notes about departures that the servers' entries do not
	// show, least recently sent first: for boxes that have just started or were partitioned.
	resendInterval = 3 * time.Second
	// maxServers bounds the recorded departures: several times the number of servers in users'
	// fleets.
	maxServers = 4096
)

// Run sends notes about leaving servers to the other boxes until the context ends.
func (b *Tracker) Run(ctx context.Context) {
	periodic.Run(ctx, b.Clock, sendInterval, b.sendNotes)
}

func (b *Tracker) sendNotes() {
	for _, note := range b.notes() {
		b.Broadcast(note)
	}
}

// notes returns the notes that are due: the servers that no box has sent yet, else those that were
// sent least recently.
func (b *Tracker) notes() [][]byte {
	if b.known.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if now.Before(b.due) {
		return nil
	}
	servers := b.unsent()
	if len(servers) == 0 {
		servers = b.leastRecentlySent()
	}
	for _, d := range servers {
		d.sent = now
	}
	b.due = now.Add(resendInterval + b.suppressionDelay())
	return b.encode(servers, now)
}

// encode returns notes about servers.
func (b *Tracker) encode(servers []*departure, now time.Time) [][]byte {
	var notes [][]byte
	for part := range slices.Chunk(servers, maxPerNote) {
		note, err := encode(b.Box, part, now)
		if err != nil {
			b.Logger.Error("cannot encode note about leaving servers", "error", err)
			continue
		}
		notes = append(notes, note)
	}
	return notes
}

// unsent returns the servers that no box has sent yet. The lock must be held.
func (b *Tracker) unsent() []*departure {
	var untold []*departure
	for _, d := range b.servers {
		if d.sent.IsZero() {
			untold = append(untold, d)
		}
	}
	return untold
}

// leastRecentlySent returns, of the servers whose entries do not show that they leave, those that
// were sent least recently, as many as fit in one note. The lock must be held.
func (b *Tracker) leastRecentlySent() []*departure {
	var servers []*departure
	for _, d := range b.servers {
		if b.Servers.Stays(d.server) {
			servers = append(servers, d)
		}
	}
	slices.SortFunc(servers, func(a, b *departure) int {
		return cmp.Or(a.sent.Compare(b.sent), cmp.Compare(a.server, b.server))
	})
	return servers[:min(len(servers), maxPerNote)]
}

// suppressionDelay returns a random delay by which boxes avoid sending the same note at once.
func (b *Tracker) suppressionDelay() time.Duration {
	return coalesce.SuppressionDelay(b.Draw(), len(b.Live()))
}

// scheduleNote schedules a note so that one of the boxes that know of a server sends it after its
// suppression delay. The lock must be held.
func (b *Tracker) scheduleNote() {
	if soon := b.Clock.Now().Add(b.suppressionDelay()); len(b.servers) == 1 || soon.Before(b.due) {
		b.due = soon
	}
}

// ReceiveNote applies a note of another box. A note that cannot be parsed in full is ignored.
func (b *Tracker) ReceiveNote(note []byte) {
	now := b.Clock.Now()
	servers, err := decode(note, now)
	if err != nil {
		b.Logger.Warn("cannot decode note about leaving servers", "error", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, received := range servers {
		d := b.servers[received.server]
		if d == nil && len(b.servers) < maxServers {
			d = received
			b.add(d)
		}
		if d != nil {
			d.sent = now
		}
	}
	if len(b.unsent()) == 0 {
		b.due = now.Add(resendInterval + b.suppressionDelay())
	}
}
