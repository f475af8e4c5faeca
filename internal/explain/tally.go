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

// Limits are the times above which an answer counts as late; 0 is none.
type Limits struct {
	// First limits the time to the first event of a stream, Pause the time between two events.
	First time.Duration
	Pause time.Duration
}

// Tally counts how all requests in some decision logs ended, and why. Set the exported fields
// before Read.
type Tally struct {
	Limits Limits
	// Window is the length of the time windows by which requests are counted, at their first line;
	// 0 is none.
	Window time.Duration

	requests map[string]*requestState
	starts   map[string][]time.Time
	first    time.Time
}

// Read reads the lines of one or several boxes, in any order. It may be called for several files.
// It keeps only a few lines of each request.
func (t *Tally) Read(from io.Reader) error {
	if t.requests == nil {
		t.requests = make(map[string]*requestState)
		t.starts = make(map[string][]time.Time)
	}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			t.add(l)
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a line is longer than %d bytes: %w", maxLineBytes, err)
	}
	return scanner.Err()
}

func (t *Tally) add(l *line) {
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
		p = &requestState{}
		t.requests[l.Request] = p
	}
	p.update(l)
}

// Row is the number of requests of one route with the same outcome and cause.
type Row struct {
	// Window is the start of the time window in which the requests began, relative to the first
	// line of a request.
	Window  time.Duration `json:"window"`
	Route   string        `json:"route"`
	Outcome Outcome       `json:"outcome"`
	Cause   string        `json:"cause"`
	Count   int           `json:"count"`
	// Example is the id of one of them, for explain-log.
	Example string `json:"example"`
}

// key returns the row without count and example.
func (r Row) key() Row {
	return Row{Window: r.Window, Route: r.Route, Outcome: r.Outcome, Cause: r.Cause}
}

// Rows returns the counts, by window and route, the highest first.
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

func (t *Tally) row(p *requestState) Row {
	outcome, cause := p.outcome(t.Limits, t.restarted(p))
	r := Row{Route: p.route, Outcome: outcome, Cause: cause}
	if t.Window > 0 {
		r.Window = p.firstLine.Sub(t.first).Truncate(t.Window)
	}
	return r
}

// restarted reports whether a request's box restarted within maxRestartDelay after the request's
// last line.
func (t *Tally) restarted(p *requestState) bool {
	return slices.ContainsFunc(t.starts[p.box], func(start time.Time) bool {
		return start.After(p.lastLine) && start.Before(p.lastLine.Add(maxRestartDelay))
	})
}
