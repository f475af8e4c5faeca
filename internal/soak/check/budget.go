package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// arrivalsOf are the times at which requests for one service were sent, and at
// which they arrived again, in order.
type arrivalsOf struct {
	sent, again []time.Duration
}

// Budget finds windows in which a service got more repeated requests than the
// retry budget allows.
func Budget(c *Case) []Violation {
	var all []Violation
	for service, times := range c.byService() {
		if v, broken := c.overspent(service, times); broken {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b Violation) int { return cmp.Compare(a.What, b.What) })
	return all
}

// byService returns the times of requests by their service.
func (c *Case) byService() map[string]*arrivalsOf {
	services := make(map[string]*arrivalsOf)
	of := func(service string) *arrivalsOf {
		if services[service] == nil {
			services[service] = &arrivalsOf{}
		}
		return services[service]
	}
	for i := range c.Requests {
		q := &c.Requests[i]
		for _, service := range c.servicesOf(q) {
			of(service).sent = append(of(service).sent, q.Sent)
		}
		for _, a := range c.arrivals[q.ID][min(1, len(c.arrivals[q.ID])):] {
			of(a.Service).again = append(of(a.Service).again, a.At)
		}
	}
	for _, t := range services {
		slices.Sort(t.sent)
		slices.Sort(t.again)
	}
	return services
}

// servicesOf returns the services that a request is for: that which got it, or
// without one all that its route ever had.
func (c *Case) servicesOf(q *history.Request) []string {
	if list := c.arrivals[q.ID]; len(list) > 0 {
		return []string{list[0].Service}
	}
	var services []string
	for i := range c.Versions {
		if s, ok := c.Versions[i].Services[q.Host]; ok && !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	return services
}

// overspent looks at the windows that end with a repeated request, and returns the first
// with more of them than are allowed.
func (c *Case) overspent(service string, t *arrivalsOf) (Violation, bool) {
	window := c.bounds.RetryWindow
	for last, end := range t.again {
		first, _ := slices.BinarySearch(t.again, end-window)
		repeats := last - first + 1
		requests := t.mostSent(end, window)
		most := c.bounds.RetryRatio*float64(requests) + float64(c.bounds.RetryFloor)
		if float64(repeats) > most {
			return found("retry budget", end, "service %s got %d repeats in %v, of %d requests; %.0f are allowed",
				service, repeats, window, requests, most), true
		}
	}
	return Violation{}, false
}

// mostSent returns the number of requests in the window that ends at a time, in the one
// before it or in the one half a window before it, whichever are the most.
func (t *arrivalsOf) mostSent(end, window time.Duration) int {
	most := 0
	for _, back := range []time.Duration{0, window / 2, window} {
		from, _ := slices.BinarySearch(t.sent, end-back-window)
		to, _ := slices.BinarySearch(t.sent, end-back+1)
		most = max(most, to-from)
	}
	return most
}
