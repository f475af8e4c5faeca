package registry

import (
	"encoding/base64"
	"strings"
)

const (
	// markSeparator separates the server's name from the mark of the instance.
	markSeparator = "~"
	// markUnitMs is the resolution of marks, in milliseconds: a process that crashes is not back
	// within it.
	markUnitMs = 64
	// markBytes is the size of a mark before its encoding as four letters. Marks repeat after 12
	// days; boxes keep no state of a server for as long.
	markBytes = 3
	// suffixLen is the length of the separator and the mark.
	suffixLen = 5
)

// InstanceID returns the id of one instance of a server, which differs from those of all other
// recent instances of the server. born is when the instance started, in Unix milliseconds; if it is
// 0, which means not reported, the id is the name.
func InstanceID(name string, born int64) string {
	return name + instanceSuffix(born)
}

func instanceSuffix(born int64) string {
	if born == 0 {
		return ""
	}
	unit := born / markUnitMs
	mark := [markBytes]byte{byte(unit >> 16), byte(unit >> 8), byte(unit)}
	return markSeparator + base64.RawURLEncoding.EncodeToString(mark[:])
}

// Name returns the id of the server that all its instances share, which is also its name on the
// wire.
func (s *Server) Name() string {
	end := len(s.ID) - suffixLen
	if s.Born == 0 || end < 0 || !strings.HasPrefix(s.ID[end:], markSeparator) {
		return s.ID
	}
	return s.ID[:end]
}

// NewerThan reports whether this instance of a server started after another one.
func (s *Server) NewerThan(than *Server) bool { return s.Born > than.Born }
