package quarantine

import (
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// End is a server instance that ended while it ran a request.
type End struct {
	Server string
	// At is when it ended, by the wall clock of the box that saw it.
	At time.Time
	// Account is whose request it was, Request its fingerprint.
	Account string
	Request fingerprint.Fingerprint
}
