package registry

import "github.com/dalebend/dalebend/internal/storerev"

// Change is one change of a server's entry.
type Change struct {
	// Server is the entry after the change. For a removed entry only ID is set, to the server's
	// name.
	Server Server
	// Removed is set if the entry was removed from the store.
	Removed bool
}

// With returns the view after applying changes that lead to a revision. The receiver is not
// modified; both views share the unchanged entries.
func (v View) With(changes []Change, revision storerev.Revision) View {
	servers := v.Servers.Edit()
	for _, c := range changes {
		if c.Removed {
			servers.Delete(c.Server.Name())
			continue
		}
		servers.Set(c.Server.Name(), c.Server)
	}
	return View{Revision: revision, Servers: servers.Map()}
}
