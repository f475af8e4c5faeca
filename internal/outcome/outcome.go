// Package outcome names how a request ended, as reported to its caller.
//
// The four outcomes are exhaustive. "Not run" is a guarantee: no backend server started the
// request, so the caller may repeat it. "Unknown" applies if the request was sent and no end mark
// arrived.
package outcome

// Outcome is how a request ended. The zero value is Unknown, so that a missing assignment never
// claims more than is known.
type Outcome uint8

const (
	// Unknown means that the request was sent and its end was not observed.
	Unknown Outcome = iota
	// Done means that the whole answer was delivered.
	Done
	// NotRun means that no backend server started the request.
	NotRun
	// Cut means that a part of the answer was delivered and the rest will not arrive.
	Cut
)

// Header is the response header that carries the outcome of a whole answer.
const Header = "Dalebend-Outcome"

// String returns the outcome as written in headers, events and logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Cut:
		return "cut"
	default:
		return "unknown"
	}
}

// Parse reads an outcome as String writes it; anything else is Unknown.
func Parse(s string) Outcome {
	for _, o := range []Outcome{Done, NotRun, Cut} {
		if o.String() == s {
			return o
		}
	}
	return Unknown
}
