package registry

import (
	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/storerev"
)

// View is all entries of the store at one revision. Immutable.
type View struct {
	// Revision is the store's revision; higher is newer, also across eras.
	Revision storerev.Revision
	// Servers holds the entries by server name; see Server.Name.
	Servers cowmap.Map[Server]
}
