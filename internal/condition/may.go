package condition

import (
	"errors"
	"fmt"
)

// Takes reports whether this box may give a server of a service a request of a rank now, 0 the most
// urgent, by the server's own words. One that leaves does not take any.
func (b *Book) Takes(server, service string, rank int) bool {
	if b == nil {
		return true
	}
	return !b.Departures.Leaves(server) && b.Limits.Takes(server, service, rank)
}

// Take counts a request of a rank that is given to a server. One that cannot be held back, such as a
// stream that goes on there, is counted as well.
func (b *Book) Take(server string, rank int) {
	if b != nil {
		b.Limits.Take(server, rank)
	}
}

// Limited reports whether a server names a limit.
func (b *Book) Limited(server string) bool { return b != nil && b.Limits.Holds(server) }

// errWithheld says that a request is not sent, as its server has said meanwhile that it wants none.
var errWithheld = errors.New("withheld")

// Withhold returns why a request that was chosen for a server is not to be sent there after all, nil if it
// is: the server may have said so while the request waited for a connection.
func (b *Book) Withhold(server string) error {
	if b == nil {
		return nil
	}
	if text := b.Departures.Text(server); text != "" {
		return fmt.Errorf("%w: %s", errWithheld, text)
	}
	return nil
}
