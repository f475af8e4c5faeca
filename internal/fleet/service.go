package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fleetfile"
)

// Service is one thing that callers address.
type Service struct {
	name    string
	kind    string
	routes  []route
	timeout time.Duration
	servers []*BackendServer
}

// route says for a path prefix and some methods whether calls may be repeated.
type route struct {
	path      string
	methods   []string
	mayRepeat bool
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Plain reports whether calls are passed through unread.
func (s *Service) Plain() bool { return s.kind == fleetfile.KindPlain }

// Timeout returns the bound of one plain call.
func (s *Service) Timeout() time.Duration { return s.timeout }

// Servers returns the backend servers of the service. The slice is read only.
func (s *Service) Servers() []*BackendServer { return s.servers }

// MayRepeat reports whether a call may be run more than once. The longest
// matching path decides; a call that no route matches may not be repeated.
func (s *Service) MayRepeat(method, path string) bool {
	best := -1
	may := false
	for _, r := range s.routes {
		if !matches(r.path, path) || !slices.Contains(r.methods, method) {
			continue
		}
		if len(r.path) > best {
			best = len(r.path)
			may = r.mayRepeat
		}
	}
	return may
}

// matches reports whether prefix ends at a boundary of a segment of path.
func matches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
