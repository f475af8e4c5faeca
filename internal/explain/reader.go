// Package explain reports what happened to one request, from the lines that boxes wrote to their
// decision logs, and names the cause of its failure. It also counts the outcomes of all requests.
package explain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// contextBefore is how long before a failure state changes are included: a server's notice to
	// leave comes about two seconds before its end.
	contextBefore = 3 * time.Second
	// contextAfter is how long after a request other boxes may have found its server gone.
	contextAfter = time.Second
	// maxRestartDelay is how long after a request's last line a start of its box counts as the
	// reason that there is no further line.
	maxRestartDelay = 30 * time.Second
	// maxLineBytes limits a line; the log's own lines are far shorter.
	maxLineBytes = 1 << 20
)

// contextEvents are the events that are collected besides the request's own.
var contextEvents = []event.Name{
	event.Start, event.StopBegins, event.StopEnds, event.NotReady, event.LinesDropped,
	event.StoreLost, event.StoreRegained, event.ConfigInForce, event.ConfigRefused, event.CordonsInForce,
	event.ServersView, event.ServerEjected, event.ServerReadmitted,
	// Of other requests: whether their attempts on the same server failed too.
	event.RequestFailed,
	// Of all attempts of the request: which servers ended during it.
	event.RequestSuspected, event.RequestHeld, event.RequestCleared,
	// Of a segment of its prompt: which servers ended under requests with it.
	event.SegmentHeld, event.SegmentCleared,
}

// Reader collects the lines relevant to a request. Set Request before Read.
type Reader struct {
	// Request is the id of the request.
	Request string

	own     []*line
	context []*line
}

// Read reads the lines of one or several boxes, in any order. It may be called for several files.
func (r *Reader) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return fmt.Errorf("a line is longer than %d bytes: %w", maxLineBytes, err)
		}
		return err
	}
	return nil
}

func (r *Reader) add(text []byte) {
	if !r.mayMatter(text) {
		return
	}
	l, ok := parseLine(text)
	switch {
	case !ok:
	case l.Request == r.Request:
		r.own = append(r.own, l)
	case slices.Contains(contextEvents, l.Event):
		r.context = append(r.context, l)
	}
}

// mayMatter is a cheap check that avoids parsing most lines.
func (r *Reader) mayMatter(text []byte) bool {
	if bytes.Contains(text, []byte(r.Request)) {
		return true
	}
	return slices.ContainsFunc(contextEvents, func(n event.Name) bool {
		return bytes.Contains(text, []byte(`"`+n+`"`))
	})
}

// Report returns the collected steps, ordered by time, and the cause.
func (r *Reader) Report() *Report {
	byTime := func(a, b *line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.own, byTime)
	slices.SortStableFunc(r.context, byTime)
	t := &timeline{own: r.own, context: r.context}
	return &Report{Request: r.Request, Steps: t.steps(), Cause: t.cause()}
}
