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

// Outcomes, the best first.
const (
	Whole   Outcome = "whole"
	Late    Outcome = "late"
	Left    Outcome = "caller left"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	Cut     Outcome = "cut"
	NoEnd   Outcome = "no end"
)

// progress is what the lines of one request have told so far.
type progress struct {
	box   string
	route string
	began time.Time
	last  time.Time
	// ended is the line that ended it, nil before that.
	ended *line
	// lost, stream and moveFailed are the last lines of their kinds.
	lost       *line
	stream     *line
	moveFailed *line
	sent       int
}

func (p *progress) take(l *line) {
	if p.began.IsZero() || l.Time.Before(p.began) {
		p.began = l.Time
	}
	if l.Time.After(p.last) {
		p.last, p.box = l.Time, l.Box
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
		p.stream = l
	case event.StreamMoveFailed:
		p.moveFailed = l
	case event.RequestRefused, event.RequestGivenUp, event.RequestEnded, event.CallerLeft:
		p.ended = l
	default:
		// The other events neither end a request nor say why it ended.
	}
}

// outcome names how the request ended and why. BoxEnded is set when its box ended after
// the request's last line.
func (p *progress) outcome(limits Limits, boxEnded bool) (Outcome, string) {
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
		return Refused, general(e.Reason)
	case event.RequestGivenUp:
		return Failed, general(e.Reason)
	case event.CallerLeft:
		return Left, ""
	default:
		return p.answered(limits)
	}
}

// answered names the outcome of a request whose answer was passed on.
func (p *progress) answered(limits Limits) (Outcome, string) {
	switch {
	case p.ended.Cause != "":
		return Cut, general(p.ended.Cause)
	case p.ended.Status >= http.StatusInternalServerError && p.sent > 1:
		return Failed, "several servers answered that they failed"
	case p.ended.Status >= http.StatusInternalServerError:
		return Failed, "the server answered that it failed"
	case p.stream == nil:
		return Whole, ""
	default:
		return p.streamed(limits)
	}
}

// streamed names the outcome of a stream that ended whole.
func (p *progress) streamed(limits Limits) (Outcome, string) {
	switch {
	case beyond(p.stream.Elapsed, limits.First):
		return Late, "first event"
	case beyond(p.stream.Pause, limits.Pause) && p.stream.Moves > 0:
		return Late, "pause of a stream that moved"
	case beyond(p.stream.Pause, limits.Pause):
		return Late, "pause"
	default:
		return Whole, ""
	}
}

// whyLost tells why no other server went on with a stream.
func (p *progress) whyLost() string {
	why := p.lost.lastCause()
	if p.moveFailed != nil {
		why += "; move: " + p.moveFailed.Cause
	}
	return general(why)
}

// beyond reports whether a time in milliseconds is longer than a limit, 0 for none.
func beyond(ms *int64, limit time.Duration) bool {
	return limit > 0 && ms != nil && time.Duration(*ms)*time.Millisecond > limit
}

// addresses are what differs between causes that are the same: addresses and ids.
var addresses = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->)?|(turned away by )\S+`)

// general returns a cause without what is particular to one request, and without what it
// followed from.
func general(cause string) string {
	cause, _, _ = strings.Cut(cause, ", after:")
	cause = addresses.ReplaceAllString(cause, "$2")
	return strings.Join(strings.Fields(cause), " ")
}
