// Package reach tracks which backend servers this box reaches directly.
//
// A dial that fails doesn't tell whether the server, the network behind it or the box's own path is
// down. Dials to several servers that fail in a row, with no sign of life from any server between
// them, point to the box's own paths: the box then counts as isolated.
package reach

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// isolatedAfter is the number of servers whose dials must fail in a row.
	isolatedAfter = 2
	// streakTime is how long a failure counts towards isolation. Boxes of a large fleet open few
	// connections: failures far apart are unrelated.
	streakTime = 5 * time.Second
)

// Tracker is safe for concurrent use. Set the exported fields before use.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger

	// disturbed is set while there is anything to forget on a sign of life.
	disturbed atomic.Bool

	mu sync.Mutex
	// failed holds when the last dial to each server failed, of those since the last sign of life
	// from any server.
	failed map[string]time.Time
	// failedAt is the last of these times.
	failedAt time.Time
	// isolatedAt is when the box began to count as isolated, zero if it doesn't.
	isolatedAt time.Time
}

// RecordFailure records that a server could not be reached directly.
func (t *Tracker) RecordFailure(server string, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for other, at := range t.failed {
		if now.Sub(at) > streakTime {
			delete(t.failed, other)
		}
	}
	if t.failed == nil {
		t.failed = make(map[string]time.Time)
	}
	t.failed[server] = now
	t.disturbed.Store(true)
	t.failedAt = now
	if len(t.failed) >= isolatedAfter && t.isolatedAt.IsZero() {
		t.isolatedAt = now
		t.log(event.ServersUnreachable, slog.Int(event.KeyServers, len(t.failed)), slog.String(event.KeyCause, cause.Error()))
	}
}

// RecordContact records a sign of life on a direct path to a server: a connection or an answer.
func (t *Tracker) RecordContact(server string) {
	if !t.disturbed.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failed)
	t.disturbed.Store(false)
	if t.isolatedAt.IsZero() {
		return
	}
	away := t.Clock.Since(t.isolatedAt)
	t.isolatedAt = time.Time{}
	t.log(event.ServersReachable, slog.String(event.KeyServer, server), slog.Int64(event.KeyAway, away.Milliseconds()))
}

// Isolated reports whether this box appears to have lost its paths to all servers. That is forgotten
// unless further dials fail.
func (t *Tracker) Isolated() bool {
	if !t.disturbed.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isolatedAt.IsZero() && t.Clock.Since(t.failedAt) <= streakTime
}

func (t *Tracker) log(name event.Name, attrs ...slog.Attr) {
	t.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
