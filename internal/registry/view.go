package registry

import "github.com/dalebend/dalebend/internal/cowmap"

// View is all entries as the store had them at one revision. It is read only.
type View struct {
	// Revision is the store's revision; a view with a higher one is newer.
	Revision int64
	// Servers holds the entries by the servers' own ids; see Server.Name.
	Servers cowmap.Map[Server]
}
