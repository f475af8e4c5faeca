package routetable

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Spec is the input of a Table.
type Spec struct {
	// Version identifies the configuration; later ones have higher versions.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keys maps each key to its client account. Without any, no route needs a key.
	Keys map[string]Account
	// HasAccounts means that routes need a key unless they are anonymous.
	HasAccounts bool
}

// Table is one version of the configuration. Create one with New.
type Table struct {
	spec     Spec
	hosts    map[string][]*Route
	services map[string]*Service
	// ranks holds the priorities and objectives of the stream routes to each service, by its name.
	ranks map[string][]rank
}

// rank is the priority of a stream route, 0 the most urgent, and its objective for the first event.
type rank struct {
	priority  int
	objective time.Duration
}

// New returns the table of a spec, which must not be modified afterwards. It is an error if a route
// names no service or a service that the spec lacks.
func New(spec Spec) (*Table, error) {
	t := &Table{
		spec:     spec,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(spec.Services)),
		ranks:    make(map[string][]rank),
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.addRanks(r)
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if len(r.Targets) == 0 {
		return fmt.Errorf("route %q names no service", r.Name)
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fmt.Errorf("route %q names unknown service %q", r.Name, target.Service)
		}
	}
	return nil
}

// addRanks adds the rank of a stream route to each service that it targets.
func (t *Table) addRanks(r *Route) {
	if !r.Stream || r.Objective <= 0 {
		return
	}
	for _, target := range r.Targets {
		t.ranks[target.Service] = append(t.ranks[target.Service], rank{priority: r.Priority, objective: r.Objective})
	}
}

// UrgentObjective returns the shortest objective of the streams to a service that are more urgent
// than a priority, 0 if there are none.
func (t *Table) UrgentObjective(service string, priority int) time.Duration {
	shortest := time.Duration(0)
	for _, r := range t.ranks[service] {
		if r.priority < priority && (shortest == 0 || r.objective < shortest) {
			shortest = r.objective
		}
	}
	return shortest
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// HasAccounts reports whether routes need a key unless they are anonymous.
func (t *Table) HasAccounts() bool { return t.spec.HasAccounts }

// Match returns the route with the longest prefix of path among those of host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services. The slice must not be modified.
func (t *Table) Services() []Service { return t.spec.Services }

// Account returns the client account of a key.
func (t *Table) Account(key string) (Account, bool) {
	a, ok := t.spec.Keys[key]
	return a, ok
}

// Target returns the service that a request is sent to. draw is a random number from 0 up to 1 that
// distributes requests by weight.
func (r *Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
