package condition

import (
	"fmt"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/serverlimit"
)

// mostNamed bounds the servers that leave which a refusal names.
const mostNamed = 3

// Refused says that the servers of a service which a request may go to take none now, by their own
// words. The request has not run.
type Refused struct {
	// RetryAfter is when to come back, 0 if the servers' words do not tell.
	RetryAfter time.Duration
	// limited is the refusal for limits, nil for none, and words is what the other servers say.
	limited *serverlimit.Refused
	words   []string
}

// Error tells the servers' words, for the caller and the log.
func (e *Refused) Error() string {
	words := e.words
	if e.limited != nil {
		words = append([]string{e.limited.Error()}, words...)
	}
	return strings.Join(words, "; ")
}

// Unwrap returns the refusal for limits, or nil.
func (e *Refused) Unwrap() error {
	if e.limited == nil {
		return nil
	}
	return e.limited
}

// Choice is what a request of a service may choose from.
type Choice struct {
	Service string
	// Rank is that of the request, 0 the most urgent.
	Rank int
	// Servers are those that it could go to, and Leaving those that it could go to if they did not leave.
	Servers, Leaving []string
}

// Refuse returns the refusal of a request that no server takes, nil if their words do not say why.
func (b *Book) Refuse(c *Choice) *Refused {
	if b == nil {
		return nil
	}
	r := &Refused{words: b.departures(c.Leaving)}
	if limited := b.Limits.Refuse(c.Service, c.Servers, c.Rank); limited != nil {
		r.limited, r.RetryAfter = limited, limited.RetryAfter
	}
	if r.limited == nil && len(r.words) == 0 {
		return nil
	}
	return r
}

// departures returns what servers that leave say, mostNamed at most.
func (b *Book) departures(servers []string) []string {
	var words []string
	for i, server := range servers {
		if i == mostNamed {
			return append(words, fmt.Sprintf("and %d more", len(servers)-mostNamed))
		}
		if text := b.Departures.Text(server); text != "" {
			words = append(words, text)
		}
	}
	return words
}
