package fleetfile

import "slices"

// Names returns the names of the file's backend servers, sorted.
func (f *File) Names() []string {
	names := make([]string, 0, len(f.BackendServers))
	for _, b := range f.BackendServers {
		names = append(names, b.Name)
	}
	slices.Sort(names)
	return names
}

// AccountNames returns the names of the file's client accounts, sorted.
func (f *File) AccountNames() []string {
	names := make([]string, 0, len(f.ClientAccounts))
	for _, a := range f.ClientAccounts {
		names = append(names, a.Name)
	}
	slices.Sort(names)
	return names
}

// SetDraining takes a backend server out of use or back into it; it returns false
// when there is none of that name.
func (f *File) SetDraining(server string, draining bool) bool {
	for i := range f.BackendServers {
		if f.BackendServers[i].Name == server {
			f.BackendServers[i].Draining = draining
			return true
		}
	}
	return false
}
