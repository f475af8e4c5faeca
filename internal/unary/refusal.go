package unary

import (
	"context"
	"io"
	"time"

	"github.com/dalebend/dalebend/internal/exchange"
)

const (
	// refusalTimeout bounds the time to read the body of a refusal: some round trips. It usually
	// arrives with the head, and the request waits meanwhile.
	refusalTimeout = 20 * time.Millisecond
	// maxRefusalBytes bounds what is read of it, for the log: one read.
	maxRefusalBytes = 4 << 10
)

// readRefusal reads the beginning of a refusal's body and closes it. The connection is kept only if
// the whole of it arrived. giveUp ends the context of the exchange.
func (s *Sender) readRefusal(r *exchange.Response, giveUp context.CancelFunc) string {
	timer := s.Clock.AfterFunc(refusalTimeout, giveUp)
	defer timer.Stop()
	defer func() { _ = r.Body.Close() }() // never fails for a body of package exchange
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRefusalBytes))
	if err != nil {
		s.Logger.Debug("refusal could not be read to its end", "error", err)
	}
	return string(body)
}
