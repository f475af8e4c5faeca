package box

import (
	"time"

	"github.com/dalebend/dalebend/internal/routetable"
)

// coldTime returns how long a server of a service is cold after its start, by the configuration in
// force.
func (b *Box) coldTime(service string) time.Duration { return b.service(service).ColdTime }

// coldRate returns the request rate per second that a cold server of a service can sustain, 0 if
// unlimited.
func (b *Box) coldRate(service string) float64 { return b.service(service).ColdRate }

// service returns a service of the configuration in force, or an empty one.
func (b *Box) service(name string) *routetable.Service {
	if t := b.share.Table(); t != nil {
		if s := t.Service(name); s != nil {
			return s
		}
	}
	return &routetable.Service{}
}

// liveNames returns the names of the live boxes, including this one.
func (b *Box) liveNames() []string {
	live := b.live()
	names := make([]string, len(live))
	for i, m := range live {
		names[i] = m.Name
	}
	return names
}

// region returns the region of a failure domain, "" if the settings don't name it.
func (b *Box) region(domain string) string { return b.Settings.Regions[domain] }
