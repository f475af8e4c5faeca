// Package sendlog logs when this box learns that a backend server leaves, and the sends to it near and
// after that.
//
// A request that reaches a leaving server too late was sent before the box knew, after it knew, or in
// time and was read late. The lines tell which: who knew when, from whom, how old the state was that the
// box decided by until then, and each send that may have come after the server left.
package sendlog

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/telemetry"
)

const (
	// maxSends is how many of the last sends to a server are kept.
	maxSends = 8
	// defaultBound is the Bound if none is set.
	defaultBound = 2 * time.Second
	// latePercent is the part of Bound, in percent, from which on news count as late.
	latePercent = 50
)

// State is what a box learned of a server.
type State string

// States of a server that leaves.
const (
	// Draining: its entry says so.
	Draining State = "draining"
	// Gone: its entry has gone, or is that of a later instance.
	Gone State = "gone"
	// Departing: it reported when it ends.
	Departing State = "departing"
	// Declining: it reported in an answer that it leaves.
	Declining State = "declining"
)

// Tracker is safe for concurrent use. Set the exported fields before use. A nil Tracker records
// nothing.
type Tracker struct {
	Clock   clockwork.Clock
	Logger  *slog.Logger
	Metrics *telemetry.Metrics
	// Bound is the time after which a server that leaves must get no more requests; 0 means 2 s.
	Bound time.Duration
	// Confirmed returns until when this box knew all changes of the store, zero for never. It is called
	// before the news is counted as known.
	Confirmed func() time.Time

	mu      sync.Mutex
	servers map[string]*server
}

// server is what is kept of one instance.
type server struct {
	// sends are the last sends, the oldest first.
	sends []send
	// left is when this box learned that it leaves, zero if it has not; state and source are what and
	// from whom.
	left   time.Time
	state  State
	source string
}

type send struct {
	request string
	at      time.Time
}

// RecordSend records that a request is about to be written to a server.
func (t *Tracker) RecordSend(id, request string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(id)
	now := t.Clock.Now()
	if len(s.sends) == maxSends {
		s.sends = append(s.sends[:0], s.sends[1:]...)
	}
	s.sends = append(s.sends, send{request: request, at: now})
	if s.left.IsZero() {
		return
	}
	t.Metrics.OrDiscard().LeavingSends.Inc("after")
	t.log(event.SentToLeaving,
		slog.String(event.KeyRequest, request), slog.String(event.KeyServer, id),
		slog.Int64(event.KeyKnown, now.Sub(s.left).Milliseconds()), slog.String(event.KeyState, string(s.state)),
		slog.String(event.KeySource, s.source))
}

// RecordLeft records that this box has learned that a server leaves, and from whom. Only the first news of an
// instance counts, unless it was back meanwhile.
func (t *Tracker) RecordLeft(id string, state State, source string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(id)
	if !s.left.IsZero() {
		return
	}
	now := t.Clock.Now()
	s.left, s.state, s.source = now, state, source
	confirmed := t.Confirmed()
	name := event.ServerLeft
	attrs := []slog.Attr{
		slog.String(event.KeyServer, id), slog.String(event.KeyState, string(state)), slog.String(event.KeySource, source),
	}
	if !confirmed.IsZero() {
		age := now.Sub(confirmed)
		attrs = append(attrs, slog.Int64(event.KeyUnconfirmed, age.Milliseconds()))
		t.Metrics.OrDiscard().LeavingNews.Observe(age, string(state))
		if age >= t.late() {
			name = event.ServerLeftLate
		}
	}
	t.log(name, attrs...)
	t.logSendsBefore(id, s, confirmed, now)
}

// logSendsBefore logs the sends to a server that has left, within Bound, of which it is not known that they were
// before that. The lock must be held.
func (t *Tracker) logSendsBefore(id string, s *server, confirmed, now time.Time) {
	for _, sent := range s.sends {
		if !sent.at.After(confirmed) || now.Sub(sent.at) >= t.bound() {
			continue
		}
		t.Metrics.OrDiscard().LeavingSends.Inc("before")
		attrs := []slog.Attr{slog.String(event.KeyRequest, sent.request), slog.String(event.KeyServer, id)}
		name := event.SentBeforeLeft
		if !confirmed.IsZero() {
			late := sent.at.Sub(confirmed)
			attrs = append(attrs, slog.Int64(event.KeyLateBy, late.Milliseconds()))
			if late >= t.late() {
				name = event.SentLate
			}
		}
		t.log(name, append(attrs, slog.Int64(event.KeySentAgo, now.Sub(sent.at).Milliseconds()))...)
	}
}

// RecordBack records that a server that had left gets new work again.
func (t *Tracker) RecordBack(id, source string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.left.IsZero() {
		return
	}
	t.log(event.ServerBack,
		slog.String(event.KeyServer, id), slog.Int64(event.KeyAway, t.Clock.Since(s.left).Milliseconds()),
		slog.String(event.KeyState, string(s.state)), slog.String(event.KeySource, source))
	s.left = time.Time{}
}

// Retain forgets the servers that are not known, some time after the last send to them.
func (t *Tracker) Retain(known func(id string) bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for id, s := range t.servers {
		if !known(id) && now.Sub(s.last()) >= 2*t.bound() {
			delete(t.servers, id)
		}
	}
}

// last returns the time of the last send or news.
func (s *server) last() time.Time {
	last := s.left
	if n := len(s.sends); n > 0 && s.sends[n-1].at.After(last) {
		last = s.sends[n-1].at
	}
	return last
}

// of returns the record of a server. The lock must be held.
func (t *Tracker) of(id string) *server {
	s := t.servers[id]
	if s == nil {
		if t.servers == nil {
			t.servers = make(map[string]*server)
		}
		s = &server{}
		t.servers[id] = s
	}
	return s
}

func (t *Tracker) bound() time.Duration { return cmp.Or(t.Bound, defaultBound) }

// late is the age of the state from which on news count as late.
func (t *Tracker) late() time.Duration { return t.bound() * latePercent / 100 }

func (t *Tracker) log(name event.Name, attrs ...slog.Attr) {
	t.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
