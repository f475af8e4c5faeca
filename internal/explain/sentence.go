package explain

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// sentence describes a line of the request.
func (l *line) sentence() string {
	switch l.Event {
	case event.RequestSent:
		return l.sentenceSent()
	case event.EnginesCrowded:
		return l.sentenceCrowded()
	case event.RequestFailed:
		return fmt.Sprintf("the attempt on %s fails, %s (%s): %s", l.Server, l.Stage, runText(l.mayHaveRun()), singleLine(l.Cause))
	case event.RequestResent:
		return fmt.Sprintf("it is tried again on %s instead of %s: %s", l.To, l.From, singleLine(l.Cause))
	case event.RequestNotResent:
		return fmt.Sprintf("it is not tried again after %s: %s", l.From, singleLine(l.Cause))
	case event.RequestRefused:
		return l.sentenceRefused()
	case event.RequestGivenUp:
		return fmt.Sprintf("the box answers %d by itself%s: %s (%s)", l.Status, elapsedText(l.Elapsed), singleLine(l.Reason), runText(true)) + stateText(l)
	case event.RequestEnded:
		return l.sentenceEnded()
	case event.CallerLeft:
		return "the caller closes its connection" + elapsedText(l.Elapsed)
	default:
		return l.streamSentence()
	}
}

func (l *line) streamSentence() string {
	switch l.Event {
	case event.StreamBackupChosen:
		return fmt.Sprintf("%s is to keep a copy of what %s holds", l.Backup, l.Server)
	case event.StreamBroke:
		return fmt.Sprintf("the stream from %s breaks after %s: %s", l.Server, count(l.Events, "event"), singleLine(l.Cause))
	case event.StreamMoved:
		return fmt.Sprintf("the stream goes on from %s instead of %s by its %s, after a pause of %s",
			l.To, l.From, l.Way, duration(l.Pause))
	case event.StreamMoveFailed:
		return fmt.Sprintf("%s cannot take the stream over from %s: %s", l.To, l.From, singleLine(l.Cause))
	case event.StreamLost:
		return fmt.Sprintf("the stream is cut at the caller after %s: %s", count(l.Events, "event"), l.causes())
	case event.StreamEnded:
		return l.sentenceStreamEnded()
	default:
		return string(l.Event)
	}
}

func (l *line) sentenceStreamEnded() string {
	text := fmt.Sprintf("%s ends the stream after %s and %s", l.Server, count(l.Events, "event"), count(l.Moves, "move"))
	if l.PendingPrefill > 0 {
		text += fmt.Sprintf("; its longest pause of %s came while %d prompt tokens were to be read beside it",
			duration(l.Pause), l.PendingPrefill)
	}
	return text
}

func (l *line) sentenceCrowded() string {
	text := fmt.Sprintf("none of %s is expected to begin it in time: %s, the best, in %s, with %d tokens to be read before it",
		count(l.Candidates, "candidate"), l.Server, duration(l.ExpectedFirst), l.PendingPrefill)
	if l.Within != nil {
		text += fmt.Sprintf(", not within %s", duration(l.Within))
	}
	if l.OverShare {
		text += ", as its account had more than its share"
	}
	if l.Returned {
		text += "; its caller was refused before"
	}
	return text + stateText(l)
}

func (l *line) sentenceSent() string {
	text := fmt.Sprintf("attempt %d goes to %s, one of %s", l.Attempt, l.Server, count(l.Candidates, "candidate"))
	if l.Cause != "" {
		text += " (" + l.Cause + ")"
	}
	if l.Backup != "" {
		text += ", with " + l.Backup + " as backup"
	}
	return text + stateText(l)
}

func (l *line) sentenceRefused() string {
	text := fmt.Sprintf("the box answers %d by itself%s: %s (%s)", l.Status, elapsedText(l.Elapsed), singleLine(l.Reason), runText(false))
	if l.RetryAfter != nil && *l.RetryAfter > 0 {
		text += ", come back in " + duration(l.RetryAfter)
	}
	return text + stateText(l)
}

func (l *line) sentenceEnded() string {
	if l.Cause != "" {
		return fmt.Sprintf("the answer breaks off at the caller%s, after %s", elapsedText(l.Elapsed), count(l.Events, "event"))
	}
	return fmt.Sprintf("the caller has its whole answer%s, status %d", elapsedText(l.Elapsed), l.Status)
}

// contextSentence describes a state change of the box. Of a view, it describes only the given
// server.
func (l *line) contextSentence(server string) string {
	switch l.Event {
	case event.ServersView:
		return server + " is leaving or gone, says the list of servers"
	case event.ServerEjected:
		return fmt.Sprintf("%s gets no new requests for a time: %s", l.Server, singleLine(l.Cause))
	case event.ServerReadmitted:
		return l.Server + " gets requests again"
	case event.ConfigInForce:
		return fmt.Sprintf("configuration version %d is in force%s", value(l.Version), sourceText(l.Source))
	case event.ConfigRefused:
		return fmt.Sprintf("a configuration%s cannot be used: %s", sourceText(l.Source), singleLine(l.Cause))
	case event.CordonsInForce:
		return fmt.Sprintf("these failure domains get no more work%s: %s", sourceText(l.Source), cmp.Or(l.Domains, "none"))
	case event.StoreLost:
		return "the object API is not reached: " + singleLine(l.Cause)
	case event.StoreRegained:
		return "the object API is reached again"
	case event.LinesDropped:
		return count(l.QueueFull+l.OverBudget, "line") + " of this log are missing"
	default:
		return l.processSentence()
	}
}

func (l *line) processSentence() string {
	switch l.Event {
	case event.Start:
		return "the process starts"
	case event.StopBegins:
		return "the process is asked to stop"
	case event.StopEnds:
		return "the process ends"
	case event.NotReady:
		return "the box asks to be left out of the balancer"
	default:
		return string(l.Event)
	}
}

// stateText returns the versions and ages of the state that a decision was based on.
func stateText(l *line) string {
	var parts []string
	if l.ConfigVersion != nil {
		parts = append(parts, fmt.Sprintf("configuration version %d%s", *l.ConfigVersion, ageText(l.ConfigAge)))
	}
	if l.ViewRevision != nil {
		parts = append(parts, fmt.Sprintf("servers as of revision %d%s", *l.ViewRevision, ageText(l.ViewAge)))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; " + strings.Join(parts, ", ")
}
