package condition

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/brittle"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/holdoff"
	"github.com/dalebend/dalebend/internal/serverlimit"
	"github.com/dalebend/dalebend/internal/telemetry"
)

// Tracker combines the limits, departures and hold-offs of backend servers. It is safe for
// concurrent use. Set the exported fields before use. A nil Tracker restricts nothing, and neither
// does a nil part.
type Tracker struct {
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics

	Limits     *serverlimit.Tracker
	Departures *departure.Tracker
	HoldOffs   *holdoff.Tracker
	Brittle    *brittle.Tracker

	mu sync.Mutex
	// unreadable holds the conditions already logged as unreadable, by server instance.
	unreadable map[string][]backend.ConditionKind
}

// Answer is what one answer of a server instance reports about the server.
type Answer struct {
	backend.Condition

	Sent time.Time
	// Verified is set if the answer is proven to come from the server itself, NotRun if the server turned
	// the request away.
	Verified, NotRun bool
}

// RecordAnswer applies what an answer of a server instance reports. A condition that cannot be
// parsed changes nothing.
func (b *Tracker) RecordAnswer(server string, a Answer) {
	if b == nil {
		return
	}
	for _, u := range a.Unreadable {
		b.reportUnreadable(server, u)
	}
	if !a.IsUnreadable(backend.KindLimit) {
		b.Limits.RecordAnswer(server, serverlimit.Answer{Limit: a.Limit, Sent: a.Sent, Verified: a.Verified})
	}
	if a.Leaving {
		b.Departures.RecordAnswer(server)
	}
	if !a.IsUnreadable(backend.KindBrittle) {
		b.Brittle.RecordAnswer(server, brittle.Answer{Stated: a.Brittle.Stated, PerSecond: a.Brittle.PerSecond, Verified: a.Verified})
	}
	if !a.IsUnreadable(backend.KindHoldOff) {
		b.HoldOffs.RecordAnswer(server, b.rest(server, a), a.Sent)
	}
}

// rest returns for how long the box must not send anything to a server after an answer: as long as the
// server asks for, and longer if it is brittle and turned the request away.
func (b *Tracker) rest(server string, a Answer) time.Duration {
	if !a.NotRun {
		return a.HoldOff
	}
	return max(a.HoldOff, b.Brittle.Rest(server))
}

// RecordSent counts a request that is sent to a server.
func (b *Tracker) RecordSent(server string) {
	if b != nil {
		b.Limits.RecordSent(server)
	}
}

// Retain drops the state of servers that are gone.
func (b *Tracker) Retain(known func(server string) bool) {
	b.Limits.Retain(known)
	b.Departures.Retain(known)
	b.HoldOffs.Retain(known)
	b.Brittle.Retain(known)
	b.mu.Lock()
	defer b.mu.Unlock()
	for server := range b.unreadable {
		if !known(server) {
			delete(b.unreadable, server)
		}
	}
}

// reportUnreadable counts a condition that cannot be parsed, and logs it once per server instance.
func (b *Tracker) reportUnreadable(server string, u backend.Unreadable) {
	b.Metrics.OrDiscard().UnreadableConditions.Inc(string(u.Kind))
	if !b.firstUnreadable(server, u.Kind) {
		return
	}
	name := event.ConditionRefused
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name),
		slog.String(event.KeyServer, server), slog.String(event.KeyCondition, string(u.Kind)),
		slog.String(event.KeyCause, u.Err.Error()))
}

// firstUnreadable reports whether this is the first unreadable condition of its kind from a server.
func (b *Tracker) firstUnreadable(server string, w backend.ConditionKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, logged := range b.unreadable[server] {
		if logged == w {
			return false
		}
	}
	if b.unreadable == nil {
		b.unreadable = make(map[string][]backend.ConditionKind)
	}
	b.unreadable[server] = append(b.unreadable[server], w)
	return true
}
