package explain

import (
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes, from best to worst.
const (
	Whole   Outcome = "whole"
	Late    Outcome = "late"
	Left    Outcome = "caller left"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	Cut     Outcome = "cut"
	NoEnd   Outcome = "no end"
)

// requestState collects what the lines of one request report.
type requestState struct {
	box       string
	route     string
	firstLine time.Time
	lastLine  time.Time
	// ended is the line of its end, or nil.
	ended *line
	// lost, streamEnded and moveFailed are the last lines of these events.
	lost        *line
	streamEnded *line
	moveFailed  *line
	sent        int
}

func (p *requestState) update(l *line) {
	if p.firstLine.IsZero() || l.Time.Before(p.firstLine) {
		p.firstLine = l.Time
	}
	if l.Time.After(p.lastLine) {
		p.lastLine, p.box = l.Time, l.Box
	}
	if l.Route != "" {
		p.route = l.Route
	}
	switch l.Event {
	case event.RequestSent:
		p.sent++
	case event.StreamLost:
		p.lost = l
	case event.StreamEnded:
		p.streamEnded = l
	case event.StreamMoveFailed:
		p.moveFailed = l
	case event.RequestRefused, event.RequestGivenUp, event.RequestEnded, event.CallerLeft:
		p.ended = l
	default:
		// The other events neither end a request nor explain its end.
	}
}

// outcome returns how the request ended and why. BoxEnded is set if its box ended after the
// request's last line.
func (p *requestState) outcome(limits Limits, boxEnded bool) (Outcome, string) {
	switch {
	case p.lost != nil:
		return Cut, p.whyLost()
	case p.ended == nil && boxEnded:
		return NoEnd, "its box ended"
	case p.ended == nil:
		return NoEnd, "the logs do not say"
	}
	switch e := p.ended; e.Event {
	case event.RequestRefused:
		return Refused, generalCause(e.Reason)
	case event.RequestGivenUp:
		return Failed, generalCause(e.Reason)
	case event.CallerLeft:
		return Left, ""
	default:
		return p.answered(limits)
	}
}

// answered returns the outcome of a request whose answer was passed on.
func (p *requestState) answered(limits Limits) (Outcome, string) {
	switch {
	case p.ended.Cause != "":
		return Cut, generalCause(p.ended.Cause)
	case p.ended.Status >= http.StatusInternalServerError && p.sent > 1:
		return Failed, "several servers answered that they failed"
	case p.ended.Status >= http.StatusInternalServerError:
		return Failed, "the server answered that it failed"
	case p.streamEnded == nil:
		return Whole, ""
	default:
		return p.streamed(limits)
	}
}

// streamed returns the outcome of a stream that was completed.
func (p *requestState) streamed(limits Limits) (Outcome, string) {
	switch {
	case exceeds(p.streamEnded.Elapsed, limits.First):
		return Late, "first event"
	case exceeds(p.streamEnded.Pause, limits.Pause) && p.streamEnded.Moves > 0:
		return Late, "pause of a stream that moved"
	case exceeds(p.streamEnded.Pause, limits.Pause):
		return Late, "pause"
	default:
		return Whole, ""
	}
}

// whyLost returns why no other server continued the stream.
func (p *requestState) whyLost() string {
	why := p.lost.lastCause()
	if p.moveFailed != nil {
		why += "; move: " + p.moveFailed.Cause
	}
	return generalCause(why)
}

// exceeds reports whether a time in milliseconds is longer than a limit; 0 is no limit.
func exceeds(ms *int64, limit time.Duration) bool {
	return limit > 0 && ms != nil && time.Duration(*ms)*time.Millisecond > limit
}

// specifics matches the addresses and ids in which equal causes differ.
var specifics = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->)?|(turned away by )\S+`)

// generalCause returns a cause without details of one request and without the causes before it.
func generalCause(cause string) string {
	cause, _, _ = strings.Cut(cause, ", after:")
	cause = specifics.ReplaceAllString(cause, "$2")
	return strings.Join(strings.Fields(cause), " ")
}
