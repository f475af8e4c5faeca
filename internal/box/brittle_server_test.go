package box_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// brittleRate is how many requests servers say that they can turn away within a second.
	brittleRate = 3
	// brittleSteps is the number of requests, limitStep apart, to servers without room.
	brittleSteps = 200
)

// TestBrittleServers checks that servers which fall over after turning away too many requests in a second
// get no more while they have no room.
func TestBrittleServers(t *testing.T) {
	for host, service := range map[string]string{"chat.test": "chat", "once.test": "plain", "many.test": "plain"} {
		t.Run(host, func(t *testing.T) {
			p := newSteadyLoad(t, service, 3, 0)
			for _, e := range p.servers {
				e.SetBrittle(fmt.Sprint(brittleRate))
			}
			p.send(host, limitSteps/10)
			for _, e := range p.servers {
				e.RefuseEvery(1, "")
			}
			from := p.now()
			p.send(host, brittleSteps)
			for _, e := range p.servers {
				require.LessOrEqual(t, maxWithin(p.arrivals[e.ID], from, time.Second), brittleRate, e.ID)
			}
		})
	}
}

// maxWithin returns the maximum number of times within a window, of those since a time.
func maxWithin(times []time.Duration, since, window time.Duration) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if from >= since && at < from+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
