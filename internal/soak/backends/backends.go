// Package backends runs the backend servers of a soak: stand-ins behind proxies,
// which write down what reaches them.
package backends

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/proxy"
	"github.com/dalebend/dalebend/platform/standin"
)

// padding is the number of bytes that are added to single answers, so that they take
// more than one packet of the loopback network (64 KB).
const padding = 100 << 10

// Fleet is all backend servers. Set the exported fields before Prepare.
type Fleet struct {
	// Host is the loopback address that servers listen on, 127.0.0.1 if empty. On a shared one, another
	// socket may get the port of a server that is about to start again.
	Host  string
	Store *standin.Store
	// Domains are the failure domains, dealt in turn.
	Domains []string
	Clock   clockwork.Clock
	Record  *history.Recorder
	Logger  *slog.Logger
	// Group and Context are for what a server runs.
	Group   *errgroup.Group
	Context context.Context

	engines *standin.Fleet
	// replacing is held while a server takes another one's slot.
	replacing sync.Mutex

	mu      sync.Mutex
	proxies map[string]*proxy.Proxy
	slots   []*slot
	started int
	// slow is how many times as long the engines that are slow take for an event, by id.
	slow map[string]int
}

// slot is a place that always has one server, each in turn of the same service.
type slot struct {
	service string
	// model is set for engines.
	model bool

	server *standin.BackendServer
	proxy  *proxy.Proxy
}

// Prepare makes the fleet ready for Add.
func (f *Fleet) Prepare() {
	f.proxies = make(map[string]*proxy.Proxy)
	f.slow = make(map[string]int)
	f.engines = &standin.Fleet{
		Host:  f.Host,
		Store: f.Store, AdvertiseAddr: f.front, OnRequest: f.seen, PaddingBytes: padding, Clock: f.Clock,
		CrashesOn:        func(body string) bool { return body == DeadlyBody },
		CrashesOnSegment: func(segment string) bool { return segment == DeadlySegment },
		OnCrash:          f.endedUnder,
	}
}

// Close ends all servers.
func (f *Fleet) Close() { f.engines.Close() }

// front puts a proxy before a server.
func (f *Fleet) front(id, addr string) (string, error) {
	p := &proxy.Proxy{Target: addr, Clock: f.Clock, Logger: f.Logger}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return "", err
	}
	f.Group.Go(func() error { return p.Run(f.Context) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[id] = p
	return p.Addr(), nil
}

// Add starts a server of a service, an engine or a plain one, in a new slot.
func (f *Fleet) Add(service string, model bool) error {
	s := &slot{service: service, model: model}
	f.mu.Lock()
	f.slots = append(f.slots, s)
	f.mu.Unlock()
	return f.fill(s)
}

// fill starts a server in a slot.
func (f *Fleet) fill(s *slot) error {
	f.mu.Lock()
	f.started++
	number := f.started
	id := fmt.Sprintf("server-%d", number)
	domain := f.Domains[number%len(f.Domains)]
	f.mu.Unlock()
	e, err := f.engines.Start(id, s.service, domain, s.model)
	if err != nil {
		return err
	}
	if s.model && number/2%2 == 1 {
		e.IgnoreCloses()
	}
	f.mu.Lock()
	s.server = e
	s.proxy = f.proxies[id]
	f.mu.Unlock()
	f.Group.Go(func() error { f.drive(e); return nil })
	return nil
}

// TurnAway lets the next requests be turned away, whichever servers get them, until
// what it returns is called.
func (f *Fleet) TurnAway(n int) (mend func()) {
	f.engines.SetAnswers(slices.Repeat([]standin.AnswerMode{standin.Overloaded}, n)...)
	return func() { f.engines.SetAnswers() }
}

// LoseAnswers has the next n generations that go on from a copy run without an answer.
func (f *Fleet) LoseAnswers(n int) { f.engines.LoseAnswers(n) }

// SlowDown has an engine take so many times as long for an event; once is the usual time.
func (f *Fleet) SlowDown(server string, times int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[server] = times
}

// eventTime returns how long an engine takes for an event.
func (f *Fleet) eventTime(server string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return eventGap * time.Duration(max(1, f.slow[server]))
}

// At returns the server and proxy of a slot by its number, modulo how many there are.
func (f *Fleet) At(n int) (*standin.BackendServer, *proxy.Proxy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.slots[n%len(f.slots)]
	return s.server, s.proxy
}

// Of returns the servers of a service, or of all if it is empty.
func (f *Fleet) Of(service string) []*standin.BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []*standin.BackendServer
	for _, s := range f.slots {
		if service == "" || s.service == service {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// Restart starts the server of a slot, by its number as for At, again under its id and at its
// address, once end has ended it.
func (f *Fleet) Restart(n int, end func(e *standin.BackendServer)) error {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	f.mu.Lock()
	s := f.slots[n%len(f.slots)]
	old := s.server
	f.mu.Unlock()
	end(old)
	return f.startAgain(s, old)
}

// startAgain starts the server of a slot again, which has ended. The lock of replacing must be held.
func (f *Fleet) startAgain(s *slot, old *standin.BackendServer) error {
	e, err := f.engines.Restart(old)
	if err != nil {
		return err
	}
	f.mu.Lock()
	s.server = e
	f.mu.Unlock()
	f.Group.Go(func() error { f.drive(e); return nil })
	return nil
}

// End ends a server that does not start again: connections to it are refused from now on.
func (f *Fleet) End(e *standin.BackendServer) error {
	f.mu.Lock()
	p := f.proxies[e.ID]
	f.mu.Unlock()
	err := p.Shut()
	e.Crash()
	return err
}

// Replace starts another server in a slot, by its number as for At, and returns the one
// before, which runs on.
func (f *Fleet) Replace(n int) (*standin.BackendServer, error) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	f.mu.Lock()
	s := f.slots[n%len(f.slots)]
	old := s.server
	f.mu.Unlock()
	return old, f.fill(s)
}
