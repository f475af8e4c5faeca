package quarantine

import (
	"fmt"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// RefusedError means that a request is not sent to a server. It has not run.
type RefusedError struct {
	// Fingerprint identifies the request, or the prompt segment for which it is refused.
	Fingerprint fingerprint.Fingerprint
	// Segment is the hash of that segment, empty if it is refused for itself.
	Segment string
	// Servers are the server instances that ended while they ran it.
	Servers []string
	// Source is where this box learned of the last end, empty if it saw it itself.
	Source string
	// RetryAfter is when to retry, as a server runs the request now; 0 if the request is held and a
	// retry is of no use.
	RetryAfter time.Duration
}

// Error describes the refusal, for the caller and the log.
func (e *RefusedError) Error() string {
	why := "request is quarantined"
	if e.RetryAfter > 0 {
		why = "request is tried at one server at a time"
	}
	what := "it"
	if e.Segment != "" {
		what = fmt.Sprintf("requests with its prompt segment %q", e.Segment)
	}
	text := fmt.Sprintf("%s: %s ended while they ran %s (fingerprint %s", why, strings.Join(e.Servers, ", "), what, e.Fingerprint)
	if e.Source != "" {
		text += ", told by " + e.Source
	}
	return text + ")"
}
