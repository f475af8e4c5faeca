package backends

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// work is how long a plain request runs at most: the longest of the users'
	// plain services.
	work = 30 * time.Millisecond
	// eventGap is the pause between two events of a stream.
	eventGap = 40 * time.Millisecond
	// leastEvents and moreEvents bound the number of events of a stream.
	leastEvents = 3
	moreEvents  = 40
)

// Events returns the number of events of a request's stream.
func Events(id string) int { return leastEvents + draw(id, moreEvents) }

// draw returns a number below n that an id always gives.
func draw(id string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // it never fails
	return int(h.Sum32() % uint32(n))
}

// seen writes a request down and lets it run for a while.
func (f *Fleet) seen(s standin.RequestRecord) {
	if s.Text != "" {
		s.Text = history.Digest(s.Text)
	}
	a := history.Arrival{
		At: f.Record.Now(), ID: s.ID, Server: s.Server, Service: s.Service, Method: s.Method, URI: s.URI, Host: s.Host,
		Body: s.Body, Account: s.Account, Key: s.Key, Ran: s.Ran, Continued: s.Continued, Lost: s.CopyLost,
		Status: s.Status, Proof: s.Proof, Text: s.Text,
		Limited: s.Limit != "", Leaving: s.Leaving != "", HoldOff: seconds(s.RetryAfter),
	}
	f.Record.Add(func(h *history.History) { h.Arrivals = append(h.Arrivals, a) })
	if s.Ran {
		pause.For(f.Context, f.Clock, time.Duration(draw(s.ID, int(work))))
	}
}

// seconds returns the time that a server asks for, 0 for none.
func seconds(text string) time.Duration {
	n, _ := strconv.ParseFloat(text, 64) // the soak's own, or empty
	return time.Duration(n * float64(time.Second))
}

// drive makes the events of the generations at a server.
func (f *Fleet) drive(e *standin.BackendServer) {
	for {
		select {
		case r := <-e.Generations:
			f.Group.Go(func() error { f.generate(e.ID, r); return nil })
		case <-f.Context.Done():
			return
		}
	}
}

// generate runs a generation to its end and writes it down.
func (f *Fleet) generate(server string, r *standin.Generation) {
	work := history.Work{ID: r.ID, Server: server, Continued: r.Continued, AnswerLost: r.AnswerLost, From: f.Record.Now()}
	for r.Generated() < Events(r.ID) && f.awaitEvent(server, r) {
		if err := r.Emit(1); err != nil {
			f.Logger.Debug("generation ends early", "id", r.ID, "error", err)
			break
		}
	}
	work.To = f.Record.Now()
	f.Record.Add(func(h *history.History) { h.Works = append(h.Works, work) })
	r.End()
}

// awaitEvent waits until the next event is made, and reports whether the generation still runs then.
func (f *Fleet) awaitEvent(server string, r *standin.Generation) bool {
	timer := f.Clock.NewTimer(f.eventTime(server))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.Done():
	case <-f.Context.Done():
	}
	return false
}
