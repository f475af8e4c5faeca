package explain

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// Limits are the times from which an answer counts as late; 0 is none.
type Limits struct {
	// First is the longest time to the first event of a stream, Pause that between two.
	First time.Duration
	Pause time.Duration
}

// Tally counts how all requests of some decision logs ended, and why. Set the exported
// fields before Read.
type Tally struct {
	Limits Limits
	// Window is the length of the windows that requests are counted in by their begin;
	// 0 is none.
	Window time.Duration

	requests map[string]*progress
	starts   map[string][]time.Time
	first    time.Time
}

// Read takes the lines of one box or of several, in any order. It may be called for
// several files. What is kept of a request is a few of its lines.
func (t *Tally) Read(from io.Reader) error {
	if t.requests == nil {
		t.requests = make(map[string]*progress)
		t.starts = make(map[string][]time.Time)
	}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			t.take(l)
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a line is longer than %d bytes: %w", lineBytes, err)
	}
	return scanner.Err()
}

func (t *Tally) take(l *line) {
	if l.Event == event.Start {
		t.starts[l.Box] = append(t.starts[l.Box], l.Time)
	}
	if l.Request == "" {
		return
	}
	if t.first.IsZero() || l.Time.Before(t.first) {
		t.first = l.Time
	}
	p := t.requests[l.Request]
	if p == nil {
		p = &progress{}
		t.requests[l.Request] = p
	}
	p.take(l)
}

// Row is the number of requests of one route that ended alike.
type Row struct {
	// Window is when the window began that the requests began in, from the first line of
	// a request.
	Window  time.Duration `json:"window"`
	Route   string        `json:"route"`
	Outcome Outcome       `json:"outcome"`
	Cause   string        `json:"cause"`
	Count   int           `json:"count"`
	// Example is the id of one of them, for explain-log.
	Example string `json:"example"`
}

// key is a row without what is counted.
func (r Row) key() Row {
	return Row{Window: r.Window, Route: r.Route, Outcome: r.Outcome, Cause: r.Cause}
}

// Rows returns the counts, by window and route, the most frequent first.
func (t *Tally) Rows() []Row {
	rows := make(map[Row]Row)
	for _, id := range slices.Sorted(maps.Keys(t.requests)) {
		r := t.row(t.requests[id])
		counted, known := rows[r.key()]
		if !known {
			counted = r
			counted.Example = id
		}
		counted.Count++
		rows[r.key()] = counted
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Window, b.Window), cmp.Compare(a.Route, b.Route),
			-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
}

func (t *Tally) row(p *progress) Row {
	outcome, cause := p.outcome(t.Limits, t.restarted(p))
	r := Row{Route: p.route, Outcome: outcome, Cause: cause}
	if t.Window > 0 {
		r.Window = p.began.Sub(t.first).Truncate(t.Window)
	}
	return r
}

// restarted reports whether a request's box started anew soon after the request's last
// line.
func (t *Tally) restarted(p *progress) bool {
	return slices.ContainsFunc(t.starts[p.box], func(start time.Time) bool {
		return start.After(p.last) && start.Before(p.last.Add(restartLimit))
	})
}
