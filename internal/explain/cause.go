package explain

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// cause names why the request ended as it did. The first case that fits is used: what failed at a
// server explains the lines that follow from it.
func (t *timeline) cause() string {
	if len(t.own) == 0 {
		return "unknown: no line names this request; it may have reached no box, its box may not be among these logs, or its lines were dropped (see log-lines-dropped)"
	}
	if lost := t.last(event.StreamLost); lost != nil {
		return t.causeLost(lost)
	}
	if given := t.last(event.RequestGivenUp); given != nil {
		return t.causeUnknown(given)
	}
	if refused := t.last(event.RequestRefused); refused != nil {
		return t.causeRefused(refused)
	}
	if ended := t.last(event.RequestEnded); ended != nil {
		return t.causeEnded(ended)
	}
	if left := t.last(event.CallerLeft); left != nil {
		return t.causeCallerLeft(left)
	}
	return t.causeNoEnd()
}

// causeLost explains a stream that was cut: what happened to its server, and why no other server
// continued it.
func (t *timeline) causeLost(lost *line) string {
	at := lost.Time
	if broke := t.last(event.StreamBroke); broke != nil {
		at = broke.Time
	}
	return fmt.Sprintf("the stream was cut after %s when its connection to %s broke; %s; no other server went on with it: %s",
		count(lost.Events, "event"), lost.Server, t.serverState(lost.Server, at), t.whyNotMoved(lost))
}

// whyNotMoved returns why no other server continued the stream.
func (t *timeline) whyNotMoved(lost *line) string {
	var failed []string
	for _, l := range t.own {
		// A move in progress fails shortly after the stream.
		if l.Event == event.StreamMoveFailed && !l.Time.After(lost.Time.Add(contextAfter)) {
			failed = append(failed, fmt.Sprintf("%s failed to (%s)", l.To, singleLine(l.Cause)))
		}
	}
	if len(failed) > 0 {
		return strings.Join(failed, ", ")
	}
	switch backup := t.backup(); backup {
	case "":
		return lost.lastCause() + ", no backup had been chosen"
	case lost.Server:
		return lost.lastCause() + ", its backup had taken it over before and no other one had been chosen"
	default:
		return "backup " + backup + " was of no use (" + lost.lastCause() + ")"
	}
}

// lastCause returns the last of a line's causes, which is the final one.
func (l *line) lastCause() string {
	if len(l.Causes) == 0 {
		return "the log does not say why"
	}
	parts := strings.Split(l.Causes[len(l.Causes)-1], "\n")
	return parts[len(parts)-1]
}

// causeRefused explains an answer by the box itself.
func (t *timeline) causeRefused(refused *line) string {
	text := fmt.Sprintf("refused by %s with status %d before any server had it: %s", refused.Box, refused.Status, singleLine(refused.Reason))
	if t.last(event.RequestSent) != nil {
		text = fmt.Sprintf("refused by %s with status %d after attempts that did not run: %s", refused.Box, refused.Status, singleLine(refused.Reason))
	}
	return text + t.configState(refused) + t.storeState(refused)
}

// causeUnknown explains a request whose server may have run it.
func (t *timeline) causeUnknown(end *line) string {
	failed := lastOf(t.own, func(l *line) bool { return l.Event == event.RequestFailed && l.mayHaveRun() })
	if failed == nil {
		return fmt.Sprintf("the outcome is unknown: the box answered %d, %s", end.Status, singleLine(end.Reason))
	}
	return fmt.Sprintf("the outcome is unknown: the attempt on %s failed at the stage %q after it was sent, so it may have run and was not repeated (%s); %s",
		failed.Server, failed.Stage, singleLine(failed.Cause), t.serverState(failed.Server, failed.Time))
}

// causeEnded explains an answer that was passed on, complete or not.
func (t *timeline) causeEnded(ended *line) string {
	server := t.server()
	switch {
	case ended.Cause == event.CauseStopped:
		return fmt.Sprintf("%s stopped and cut the answer%s, after %s", ended.Box, elapsedText(ended.Elapsed), count(ended.Events, "event"))
	case ended.Cause != "":
		return fmt.Sprintf("the answer broke off: %s; %s", singleLine(ended.Cause), t.serverState(server, ended.Time))
	case ended.Status >= http.StatusInternalServerError:
		return fmt.Sprintf("%s itself answered %d; the answer was passed on after %s%s", server, ended.Status, t.attempts(), t.whyNotResent())
	case ended.Status >= http.StatusBadRequest:
		return fmt.Sprintf("%s itself answered %d: the request was not acceptable to it", server, ended.Status)
	case t.last(event.StreamMoved) != nil:
		return "no failure: the stream was moved and ended whole"
	default:
		return "no failure: the caller has its whole answer"
	}
}

// whyNotResent returns why a failure was passed on, if the log has it.
func (t *timeline) whyNotResent() string {
	l := t.last(event.RequestNotResent)
	if l == nil {
		return ""
	}
	return ": " + singleLine(l.Cause)
}

// attempts returns the number of attempts and their servers.
func (t *timeline) attempts() string {
	var servers []string
	for _, l := range t.own {
		if l.Event == event.RequestSent {
			servers = append(servers, l.Server)
		}
	}
	return count(len(servers), "attempt") + " (" + strings.Join(servers, ", ") + ")"
}

func (t *timeline) causeCallerLeft(left *line) string {
	server := t.server()
	if server == "" {
		return fmt.Sprintf("the caller left%s, before a server was chosen", elapsedText(left.Elapsed))
	}
	return fmt.Sprintf("the caller left%s, while %s was at work", elapsedText(left.Elapsed), server)
}

// causeNoEnd explains a request without a line for its end.
func (t *timeline) causeNoEnd() string {
	end := t.own[len(t.own)-1]
	where := "before it was sent to a server"
	if server := t.server(); server != "" {
		where = "while " + server + " had it, so it may have run"
	}
	restart := t.firstContext(func(l *line) bool {
		return l.Event == event.Start && l.Box == end.Box && l.Time.After(end.Time) && l.Time.Before(end.Time.Add(maxRestartDelay))
	})
	if restart != nil {
		return fmt.Sprintf("the outcome is unknown: the process of %s ended %s (it started anew %s after the request's last line)",
			end.Box, where, elapsedBetween(end.Time, restart.Time))
	}
	if dropped := t.firstContext(func(l *line) bool {
		return l.Event == event.LinesDropped && l.Box == end.Box && l.Time.After(end.Time)
	}); dropped != nil {
		return fmt.Sprintf("unknown: lines of %s were dropped, the last one of this request may be among them", end.Box)
	}
	return fmt.Sprintf("the outcome is unknown: %s wrote nothing more about the request; the process died %s, or these logs end here", end.Box, where)
}

// elapsedBetween returns the time between two lines, in milliseconds.
func elapsedBetween(from, to time.Time) string { return to.Sub(from).Round(time.Millisecond).String() }
