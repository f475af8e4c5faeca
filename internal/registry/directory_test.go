package registry_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// scriptClock is a clock whose functions are called before Advance returns.
type scriptClock struct {
	*clockwork.FakeClock

	due []dueCall
}

type dueCall struct {
	at time.Time
	f  func()
}

func (c *scriptClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	c.due = append(c.due, dueCall{at: c.Now().Add(d), f: f})
	return nil
}

func (c *scriptClock) Advance(d time.Duration) {
	c.FakeClock.Advance(d)
	var calls []func()
	c.due = slices.DeleteFunc(c.due, func(call dueCall) bool {
		over := !c.Now().Before(call.at)
		if over {
			calls = append(calls, call.f)
		}
		return over
	})
	for _, f := range calls {
		f()
	}
}

// script is a directory and a simulated store, driven by a testdata file.
type script struct {
	clock    *scriptClock
	began    time.Time
	returned time.Time
	left     []string
	dir      *registry.Directory
}

func newScript() *script {
	clock := &scriptClock{FakeClock: clockwork.NewFakeClockAt(time.Unix(1000, 0))}
	s := &script{clock: clock, began: clock.Now()}
	s.dir = &registry.Directory{
		Clock:         clock,
		StoreReturned: func() time.Time { return s.returned },
		OnLeft:        func(ids []string) { s.left = append(s.left, ids...) },
		ColdTime: func(service string) time.Duration {
			if service == "chat" {
				return time.Second
			}
			return 0
		},
	}
	return s
}

// parseServer reads "NAME SERVICE STATE [DOMAIN [COLD]] [born=SECONDS]".
func parseServer(t *testing.T, line string) registry.Server {
	f := strings.Fields(line)
	var born int64
	if text, ok := strings.CutPrefix(f[len(f)-1], "born="); ok {
		born = parseBorn(t, text)
		f = f[:len(f)-1]
	}
	domain := ""
	warmup := time.Duration(0)
	if len(f) == 5 {
		var err error
		warmup, err = time.ParseDuration(f[4])
		require.NoError(t, err)
		f = f[:4]
	}
	if len(f) == 4 {
		domain = f[3]
		f = f[:3]
	}
	require.Len(t, f, 3, line)
	states := map[string]registry.State{"ready": registry.Ready, "draining": registry.Draining}
	state, ok := states[f[2]]
	require.True(t, ok, line)
	id := registry.InstanceID(f[0], born)
	return registry.Server{ID: id, Born: born, Service: f[1], State: state, Domain: domain, Warmup: warmup}
}

// parseBorn converts seconds to milliseconds.
func parseBorn(t *testing.T, text string) int64 {
	seconds, err := strconv.ParseInt(text, 10, 64)
	require.NoError(t, err)
	return seconds * 1000
}

// set sets a view in an era.
func (s *script) set(t *testing.T, input string, era int64) {
	var servers cowmap.Edit[registry.Server]
	for line := range strings.Lines(input) {
		server := parseServer(t, line)
		servers.Set(server.Name(), server)
	}
	s.dir.Set(&registry.View{Revision: inEra(t, era, 0), Servers: servers.Map()})
}

// inEra returns the revision of a change in an era.
func inEra(t require.TestingT, era, number int64) storerev.Revision {
	r, err := storerev.New(era, number)
	require.NoError(t, err)
	return r
}

// eraOf returns the era of a command, 0 if it states none.
func eraOf(t *testing.T, td *datadriven.TestData) (era int64) {
	td.MaybeScanArgs(t, "era", &era)
	return era
}

// cold prints the cold servers, each with its remaining time.
func (s *script) cold() string {
	var b strings.Builder
	now := s.clock.Now()
	for _, service := range []string{"chat", "plain"} {
		for _, m := range s.dir.Service(service) {
			if m.Cold(now) {
				fmt.Fprintf(&b, "%s for %s\n", m.ID, m.ColdUntil.Sub(now))
			}
		}
	}
	return b.String()
}

// cordon sets cordons of a revision, and prints the known ones afterwards.
func (s *script) cordon(t *testing.T, td *datadriven.TestData) string {
	c := registry.Cordons{Domains: strings.Fields(td.Input)}
	var number int64
	td.ScanArgs(t, "revision", &number)
	c.Revision = inEra(t, eraOf(t, td), number)
	newer := s.dir.SetCordons(c)
	known := s.dir.Cordons()
	return fmt.Sprintf("newer=%t revision=%v domains=%s\n", newer, known.Revision, strings.Join(known.Domains, " "))
}

// started takes "NAME OLD NEW": the server known by its instance started at OLD seconds reports
// that it started at NEW.
func (s *script) started(t *testing.T, input string) string {
	f := strings.Fields(input)
	born := parseBorn(t, f[1])
	server := &registry.Server{ID: registry.InstanceID(f[0], born), Born: born}
	now := s.dir.ResolveInstance(server, parseBorn(t, f[2]))
	if now == nil {
		return "late\n"
	}
	return "spoke: " + now.ID + "\n"
}

// replaced takes "NAME BORN", and prints the newer instance that is known.
func (s *script) replaced(t *testing.T, input string) string {
	f := strings.Fields(input)
	born := parseBorn(t, f[1])
	next := s.dir.NewerInstance(&registry.Server{ID: registry.InstanceID(f[0], born), Born: born})
	if next == nil {
		return "no\n"
	}
	return "by " + next.ID + "\n"
}

// show prints the servers that left, and for each service those that accept work. A vanished entry
// is printed with the time, from the start of the script, at which it lapses.
func (s *script) show() string {
	var b strings.Builder
	slices.Sort(s.left)
	if len(s.left) > 0 {
		fmt.Fprintf(&b, "left: %s\n", strings.Join(s.left, " "))
	}
	s.left = nil
	for _, service := range []string{"chat", "plain"} {
		var names []string
		for _, m := range s.dir.Service(service) {
			name := m.ID
			if !m.LapsesAt.IsZero() {
				name += "@" + m.LapsesAt.Sub(s.began).String()
			}
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(&b, "%s: %s\n", service, strings.Join(names, " "))
	}
	return b.String()
}

// departing prints the servers that reported when they end.
func (s *script) departing() string {
	var list []string
	s.dir.Departing(func(id string, age time.Duration) {
		list = append(list, fmt.Sprintf("%s %s ago\n", id, age))
	})
	slices.Sort(list)
	return strings.Join(list, "")
}

// TestScripts runs the scripts in testdata: view changes, reports of servers, passing time and
// store outages.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "new":
				s = newScript()
			case "view":
				s.set(t, td.Input, eraOf(t, td))
			case "returned":
				s.returned = s.clock.Now()
			case "advance":
				d, err := time.ParseDuration(strings.TrimSpace(td.Input))
				require.NoError(t, err)
				s.clock.Advance(d)
			case "depart":
				fresh := s.dir.MarkDeparting(strings.Fields(td.Input)...)
				return fmt.Sprintf("fresh: %s\n%s", strings.Join(fresh, " "), s.show())
			case "decline":
				s.dir.Decline(strings.Fields(td.Input)...)
			case "declining":
				return fmt.Sprintf("chat: %s\n", strings.Join(s.dir.Declining("chat"), " "))
			case "departing":
				return s.departing()
			case "takes":
				return fmt.Sprintf("takes=%t known=%t\n", s.dir.Takes(td.Input), s.dir.Known(td.Input))
			case "change":
				c := s.dir.EraChange()
				return fmt.Sprintf("kept: %s\nwithheld: %s\n", strings.Join(c.Kept, " "), strings.Join(c.Withheld, " "))
			case "stays":
				return fmt.Sprintf("takes=%t stays=%t goes-on=%t\n", s.dir.Takes(td.Input), s.dir.Stays(td.Input), s.dir.CanContinue(td.Input))
			case "cold":
				return s.cold()
			case "started":
				return s.started(t, td.Input) + s.show()
			case "replaced":
				return s.replaced(t, td.Input)
			case "cordon":
				return s.cordon(t, td) + s.show()
			default:
				td.Fatalf(t, "unknown command %s", td.Cmd)
			}
			return s.show()
		})
	})
}

// TestEmpty: a directory without a view knows no server.
func TestEmpty(t *testing.T) {
	s := newScript()
	require.Empty(t, s.dir.Service("chat"))
	require.False(t, s.dir.Takes("a"))
	require.False(t, s.dir.Known("a"))
	require.Nil(t, s.dir.View())
}

// TestWith: View.With returns a new view and leaves the old one unmodified.
func TestWith(t *testing.T) {
	old := registry.View{Revision: 3, Servers: cowmap.Of(map[string]registry.Server{
		"a": {ID: "a", Slots: 1}, "b": {ID: "b"},
	})}
	next := old.With([]registry.Change{
		{Server: registry.Server{ID: "a", Slots: 2}},
		{Server: registry.Server{ID: "b"}, Removed: true},
		{Server: registry.Server{ID: "c"}, Removed: true},
		{Server: registry.Server{ID: "d"}},
	}, 9)
	require.Equal(t, registry.View{Revision: 9, Servers: cowmap.Of(map[string]registry.Server{
		"a": {ID: "a", Slots: 2}, "d": {ID: "d"},
	})}, next)
	require.Equal(t, registry.View{Revision: 3, Servers: cowmap.Of(map[string]registry.Server{
		"a": {ID: "a", Slots: 1}, "b": {ID: "b"},
	})}, old)

	var empty registry.View
	require.Equal(t, 1, empty.With([]registry.Change{{Server: registry.Server{ID: "a"}}}, 1).Servers.Len())
	require.Zero(t, empty.Servers.Len())
}

// TestOrder: servers are listed by id, so that a choice among them is reproducible; those whose
// entries have vanished come last.
func TestOrder(t *testing.T) {
	s := newScript()
	s.set(t, "d chat ready\nb chat ready\na chat ready\nf chat ready\nc chat ready\ne chat ready\n", 0)
	require.Equal(t, []string{"a", "b", "c", "d", "e", "f"}, s.listed())
	s.returned = s.clock.Now()
	s.set(t, "f chat ready\nc chat ready\n", 0)
	require.Equal(t, []string{"c", "f", "a", "b", "d", "e"}, s.listed())
	s.clock.Advance(time.Minute)
	s.set(t, "", 0)
	require.Equal(t, []string{"a", "b", "c", "d", "e", "f"}, s.left)
}

func (s *script) listed() []string {
	var ids []string
	for _, m := range s.dir.Service("chat") {
		ids = append(ids, m.ID)
	}
	return ids
}

// TestDepartKeepsTheNewestView: a departure reported while views arrive never brings back an older
// view.
func TestDepartKeepsTheNewestView(t *testing.T) {
	const views, workers = 400, 8
	dir := &registry.Directory{Clock: clockwork.NewFakeClock(), StoreReturned: func() time.Time { return time.Time{} }}
	view := func(revision storerev.Revision) *registry.View {
		var servers cowmap.Edit[registry.Server]
		for i := range views {
			id := fmt.Sprint(i)
			servers.Set(id, registry.Server{ID: id, Service: "chat"})
		}
		return &registry.View{Revision: revision, Servers: servers.Map()}
	}
	dir.Set(view(0))
	var departs sync.WaitGroup
	for worker := range workers {
		departs.Go(func() {
			for i := worker; i < views; i += workers {
				dir.MarkDeparting(fmt.Sprint(i))
			}
		})
	}
	for i := storerev.Revision(1); i <= views; i++ {
		dir.Set(view(i))
		require.GreaterOrEqual(t, dir.View().Revision, i)
	}
	departs.Wait()
	require.Equal(t, storerev.Revision(views), dir.View().Revision)
	require.Empty(t, dir.Service("chat"))
}
