package box_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/soak/partition"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// contactTime is how long after a box was cut off its callers must be served.
	contactTime = 3 * time.Second
	// isolatedStep is by how much the clock advances at a time.
	isolatedStep = 5 * time.Millisecond
	// isolatedCalls is the number of requests to a box that is cut off.
	isolatedCalls = 12
)

// pair is two boxes with the same servers. The first can be cut off from these.
type pair struct {
	cut, other *rig
	partition  *partition.Dialer
	servers    []*standin.BackendServer
	calls      int
}

// newPair starts two boxes and servers of a service, and waits until the boxes know each other.
func newPair(t *testing.T, service string) *pair {
	p := &pair{cut: newRig(t)}
	p.cut.standard()
	for n := range 3 {
		p.servers = append(p.servers, p.cut.server(fmt.Sprintf("s%d", n), service))
	}
	if service == "chat" {
		for _, e := range p.servers {
			go answerRuns(e)
		}
	}
	p.cutOff(t)
	p.other = p.cut.sibling()
	for _, r := range []*rig{p.cut, p.other} {
		r.run()
		p.advanceUntil(func() { r.awaitConfig(1) })
		p.advanceUntil(func() { r.awaitServers(int64(len(p.servers)), 0) })
	}
	for _, r := range []*rig{p.cut, p.other} {
		p.advanceUntil(func() { r.log.await(event.PeerRegained, nil) })
	}
	return p
}

// cutOff makes the first box dial servers through the partition.
func (p *pair) cutOff(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	p.partition = &partition.Dialer{Clock: p.cut.clock, Logger: slog.New(slog.DiscardHandler), Context: ctx, Group: &errgroup.Group{}}
	p.cut.dialer = p.partition
	t.Cleanup(func() {
		cancel()
		require.NoError(t, p.partition.Group.Wait())
	})
}

// sibling returns another box of the fleet, which is not started yet.
func (r *rig) sibling() *rig {
	s := *r.settings
	ip := boxIP()
	s.Box, s.Domain = "box-2", "other-hall"
	s.Front, s.Ready, s.Heartbeat, s.Calls, s.Metrics = ip+":7411", ip+":7412", ip+":7413", ip+":7413", ip+":7414"
	s.Seeds = []string{r.settings.Heartbeat}
	return &rig{
		t: r.t, clock: &tickerClock{FakeClock: r.clock.FakeClock, made: make(chan time.Duration, 100)},
		log: &logRecorder{changed: make(chan struct{})}, ended: make(chan error, 1), metrics: telemetry.New(),
		store: r.store, engines: r.engines, settings: &s,
	}
}

// advanceUntil advances the clock until a wait returns, not faster than the time of the network.
func (p *pair) advanceUntil(wait func()) {
	done := make(chan struct{})
	go func() {
		wait()
		close(done)
	}()
	require.Eventually(p.cut.t, func() bool {
		select {
		case <-done:
			return true
		default:
			p.cut.clock.Advance(isolatedStep)
			return false
		}
	}, time.Minute, isolatedStep)
}

// ask sends a request to a box and returns its status. The clock advances while servers may be silent.
func (p *pair) ask(r *rig, host string) int {
	p.calls++
	id := fmt.Sprintf("q%d", p.calls)
	type result struct {
		reply *standin.Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := standin.Send(r.t.Context(), r.settings.Front, standin.Call{
			ID: id, Method: http.MethodPost, Host: host, URI: "/a", Body: "b",
			Timeout: 10 * time.Second, PromptTokens: 100, MaxTokens: 400,
		})
		if err == nil {
			_, err = reply.Text()
		}
		done <- result{reply: reply, err: err}
	}()
	var got result
	if p.partition.Silent() {
		p.advanceUntil(func() { got = <-done })
	} else {
		got = <-done
	}
	require.NoError(r.t, got.err)
	require.Equal(r.t, id, got.reply.ID)
	return got.reply.Status
}

// pass lets time pass while the other box serves its callers.
func (p *pair) pass(host string, d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		p.cut.clock.Advance(100 * time.Millisecond)
		require.Equal(p.cut.t, http.StatusOK, p.ask(p.other, host))
	}
}

// runs returns how often a request reached servers.
func (p *pair) runs(id string) int {
	n := 0
	for _, e := range p.servers {
		for _, a := range e.Arrivals() {
			if a.ID == id {
				n++
			}
		}
	}
	return n
}

// TestBoxWithoutServerPaths checks that a box that reaches no server serves its callers while another box does.
func TestBoxWithoutServerPaths(t *testing.T) {
	for host, service := range map[string]string{"chat.test": "chat", "once.test": "plain", "many.test": "plain"} {
		for _, mode := range partition.Modes() {
			t.Run(host+"/"+string(mode), func(t *testing.T) {
				p := newPair(t, service)
				require.Equal(t, http.StatusOK, p.ask(p.cut, host))
				p.partition.Cut(mode)
				p.pass(host, contactTime)
				for range isolatedCalls {
					require.Equal(t, http.StatusOK, p.ask(p.cut, host))
					require.Equal(t, 1, p.runs(fmt.Sprintf("q%d", p.calls)))
				}
				p.partition.Cut(partition.None)
			})
		}
	}
}
