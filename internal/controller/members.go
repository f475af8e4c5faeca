package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/periodic"
)

const (
	// watchersPerDomain is how many controllers of a failure domain watch the store.
	watchersPerDomain = 2
	boxListEvery      = 2 * time.Second
	// isolatedAfter is how long a controller may reach nobody.
	isolatedAfter = 10 * time.Second
)

// members is what a controller knows of boxes and backend servers.
type members struct {
	clock clockwork.Clock
	self  string

	mu        sync.Mutex
	boxes     []boxlist.Box
	view      control.Members
	storeSeen time.Time
	peerSeen  time.Time
	began     time.Time
}

// set takes a list from the platform.
func (m *members) set(l boxlist.List) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := control.Members{Isolated: m.view.Isolated, Routers: make(map[string]string)}
	m.boxes = m.boxes[:0]
	for _, b := range l.Boxes {
		switch {
		case b.Role == boxlist.RoleEntry:
			m.boxes = append(m.boxes, b)
			if b.State == boxlist.StateLive {
				next.Boxes = append(next.Boxes, b.Name)
				if b.Router != "" && b.Name != m.self {
					next.Routers[b.Name] = b.Router
				}
			}
		case b.State == boxlist.StateLeaving:
			next.Leaving = append(next.Leaving, b.Name)
		}
	}
	slices.Sort(next.Boxes)
	slices.Sort(next.Leaving)
	m.replace(next)
}

// replace swaps the view if it differs.
func (m *members) replace(next control.Members) {
	same := slices.Equal(next.Boxes, m.view.Boxes) && next.Isolated == m.view.Isolated &&
		slices.Equal(next.Leaving, m.view.Leaving) && maps.Equal(next.Routers, m.view.Routers)
	next.Revision = m.view.Revision
	if !same {
		next.Revision++
	}
	m.view = next
}

// sawStore notes news of the store, by the controller itself or by a peer.
func (m *members) sawStore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeSeen = m.clock.Now()
	m.judge()
}

// sawPeer notes that a peer answered.
func (m *members) sawPeer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerSeen = m.clock.Now()
	m.judge()
}

// sawNobody notes that nobody answered.
func (m *members) sawNobody() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.began.IsZero() {
		m.began = m.clock.Now()
	}
	m.judge()
}

// judge decides whether this box is cut off. When others are listed and neither
// the store nor any of them answers, the fault is most likely here. When the store
// alone is away, or this is the only box, serving goes on.
func (m *members) judge() {
	last := m.began
	for _, t := range []time.Time{m.storeSeen, m.peerSeen} {
		if t.After(last) {
			last = t
		}
	}
	next := m.view
	next.Isolated = m.others() > 0 && m.clock.Since(last) > isolatedAfter
	m.replace(next)
}

func (m *members) others() int {
	n := 0
	for _, b := range m.boxes {
		if b.Name != m.self && b.State == boxlist.StateLive {
			n++
		}
	}
	return n
}

// Since returns the members if their revision differs from the asker's.
func (m *members) Since(revision uint64) *control.Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.Revision == revision {
		return nil
	}
	v := m.view
	return &v
}

func (m *members) current() control.Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// watchers returns the controllers that watch the store, those of the given domain
// first. All boxes that have the same list agree on them.
func (m *members) watchers(domain string) []boxlist.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	byDomain := make(map[string][]boxlist.Box)
	for _, b := range m.boxes {
		if b.State == boxlist.StateLive && b.Control != "" {
			byDomain[b.FailureDomain] = append(byDomain[b.FailureDomain], b)
		}
	}
	var near, far []boxlist.Box
	for d, list := range byDomain {
		slices.SortFunc(list, byHash)
		list = list[:min(len(list), watchersPerDomain)]
		if d == domain {
			near = list
		} else {
			far = append(far, list...)
		}
	}
	slices.SortFunc(far, byHash)
	return append(slices.Clone(near), far...)
}

// contends reports whether this box is one of those that try for a lease.
func (m *members) contends(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.boxes) == 0 {
		return true
	}
	rest := slices.Clone(m.boxes)
	for range contenders {
		best, found := highest(rest, name)
		if !found {
			return false
		}
		if best.Name == m.self {
			return true
		}
		rest = slices.DeleteFunc(rest, func(b boxlist.Box) bool { return b.Name == best.Name })
	}
	return false
}

// live returns the live boxes.
func (m *members) live() []boxlist.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.boxes), func(b boxlist.Box) bool { return b.State != boxlist.StateLive })
}

// highest returns the live box with the highest hash together with a name: the
// owner of what the name stands for. Of boxes that come and go, only theirs moves.
func highest(boxes []boxlist.Box, name string) (best boxlist.Box, found bool) {
	var top uint64
	for _, b := range boxes {
		if b.State != boxlist.StateLive || b.Control == "" {
			continue
		}
		h := xxhash.Sum64String(b.Name + "\x00" + name)
		if !found || h > top || h == top && b.Name < best.Name {
			best, top, found = b, h, true
		}
	}
	return best, found
}

func byHash(a, b boxlist.Box) int {
	x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return strings.Compare(a.Name, b.Name)
	}
}

// watcher reports whether this controller watches the store.
func (m *members) watcher(domain string) bool {
	for _, b := range m.watchers(domain) {
		if b.Name == m.self {
			return true
		}
	}
	return false
}

// followBoxes reads the box list until ctx ends.
func (c *Controller) followBoxes(ctx context.Context) error {
	if c.Boxes == nil {
		return nil
	}
	periodic.RunNow(ctx, c.Clock, boxListEvery, func() {
		l, err := c.Boxes.Read()
		if err != nil {
			c.count("controller.box_list_failures")
			return
		}
		if len(l.Refused) > 0 {
			c.Logger.Warn("entries of the box list cannot be decoded", "count", len(l.Refused), "first", l.Refused[0])
		}
		c.members.set(l)
		c.API.SetBoxes(len(c.members.live()))
	})
	return nil
}
