package registry

import "maps"

// Change is one change of a server's entry.
type Change struct {
	// Server is the entry after the change. Of an entry that is gone only the ID
	// is set, to the server's own id.
	Server Server
	// Gone means that the entry was removed.
	Gone bool
}

// With returns the view after changes, which lead up to a revision. The view
// itself stays as it is.
func (v View) With(changes []Change, revision int64) View {
	servers := maps.Clone(v.Servers)
	if servers == nil {
		servers = make(map[string]Server, len(changes))
	}
	for _, c := range changes {
		if c.Gone {
			delete(servers, c.Server.Name())
			continue
		}
		servers[c.Server.Name()] = c.Server
	}
	return View{Revision: revision, Servers: servers}
}
