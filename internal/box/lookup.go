package box

import (
	"time"

	"github.com/dalebend/dalebend/internal/routetable"
)

// coldTime returns how long a server of a service is cold after its start, by the
// configuration in force.
func (b *Box) coldTime(service string) time.Duration { return b.service(service).ColdTime }

// coldRate returns the requests a second that a cold server of a service bears, 0 if there is
// no bound.
func (b *Box) coldRate(service string) float64 { return b.service(service).ColdRate }

// service returns a service of the configuration in force, an empty one if there is none.
func (b *Box) service(name string) *routetable.Service {
	if t := b.share.Table(); t != nil {
		if s := t.Service(name); s != nil {
			return s
		}
	}
	return &routetable.Service{}
}

// liveNames returns the names of the live boxes, this one among them.
func (b *Box) liveNames() []string {
	live := b.live()
	names := make([]string, len(live))
	for i, m := range live {
		names[i] = m.Name
	}
	return names
}

// region returns the region of a failure domain, empty if the settings do not tell.
func (b *Box) region(domain string) string { return b.Settings.Regions[domain] }
