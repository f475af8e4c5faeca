package streaming_test

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/registry"
)

// script runs one data file.
type script struct {
	t     *testing.T
	rig   *rig
	terms terms
	over  bool
}

// TestScripts runs the scenarios in testdata/stories. Each command prints its effects: the requests
// sent to each engine, and the events that the caller got.
//
//	new [no-backups] [retries=N] [expected=N] [most=N] [link=MBPS] [objective=DURATION] [urgent=DURATION] ENGINE...
//	                             a relay; engines are picked in this order
//	start [within=DURATION]      the caller sends its generation
//	answers ENGINE MODE...       outcomes of the next requests to the engine: dial-MODE hangs before the request
//	                             is sent, hang-MODE before it begins, lost ones run without an answer
//	moves ENGINE MODE...         outcomes of the next copy calls to the engine: hang-MODE before it does anything,
//	                             slow-MODE once the generation is stopped, if it is to be
//	say ENGINE N / part ENGINE [N]   the engine's newest stream sends N events / N and a part of one
//	comment ENGINE               it sends a comment line
//	end ENGINE / break ENGINE    it ends cleanly / breaks
//	cut ENGINE                   its connection breaks; a heedless engine works on
//	panic ENGINE                 reading it panics
//	old say|end|break ENGINE     the same for the stream before the newest
//	heedless ENGINE              it works on after a connection has closed, from the next request on
//	mute ENGINE                  it answers no call to free a copy
//	release ENGINE               its hanging calls continue
//	restart ENGINE SECONDS       it restarts under its id and holds nothing
//	learn ENGINE                 the server list has its present instance
//	loads                        prints the generations and copies of this box by engine
//	drain ENGINE / ready ENGINE / gone ENGINE   it is leaving / is ready again / its entry is removed
//	declines ENGINE              it reports in an answer that it leaves
//	cordon [DOMAIN]...           exactly these failure domains are cordoned; engines named far... stand in
//	                             the domain "far", the others in "hall"
//	age DURATION                 the age of the server list
//	says ENGINE not yet|soon|nothing  the status that a poll of the engine returns
//	load ENGINE TOKENS UNREAD    the load of other boxes there: tokens, of 100,000, and pending prefill tokens
//	peer BOX ENGINE              another box runs a generation on the engine
//	took ACCOUNT TOKENS          engines processed these tokens for an account; the caller's is "kiosk"
//	short ACCOUNT                a caller of that account was refused
//	spend                        another request takes a retry, if one is left
//	advance DURATION / leave / deaf   time passes / the caller leaves / it takes no more bytes
//	pause DURATION               time passes in which the box does not run
//	full / takes / gives-way     the caller is behind and at its buffer limit / takes all / is too slow
func TestScripts(t *testing.T) {
	unsent, shed := notSent(t), full(t)
	datadriven.Walk(t, "testdata/stories", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t}
			t.Cleanup(s.stop)
			datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
				s.t = t
				if td.Cmd == "new" {
					s.stop()
					s.create(td, unsent, shed)
					return ""
				}
				s.run(td)
				return s.show()
			})
		})
	})
}

func (s *script) stop() {
	if s.rig != nil {
		s.rig.stop()
		s.check()
		s.rig = nil
	}
}

// check checks what must hold after every scenario.
func (s *script) check() {
	require.Empty(s.t, s.rig.fleet.faults)
	require.Zero(s.t, s.rig.relay.OpenStreams())
	require.Empty(s.t, s.rig.relay.EngineLoad.OwnLoads())
	for _, e := range s.rig.fleet.engines {
		for _, stream := range e.streams {
			require.True(s.t, stream.shut, "a stream at %s stays open", e.id)
		}
	}
}

func (s *script) create(td *datadriven.TestData, unsent, shed error) {
	// Links this slow do not allow an engine to be drained within its notice.
	s.terms = terms{backups: !td.HasArg("no-backups"), retries: 10, expected: 400, linkMbps: 1}
	td.MaybeScanArgs(s.t, "link", &s.terms.linkMbps)
	td.MaybeScanArgs(s.t, "retries", &s.terms.retries)
	td.MaybeScanArgs(s.t, "expected", &s.terms.expected)
	td.MaybeScanArgs(s.t, "most", &s.terms.most)
	objective := "0s"
	td.MaybeScanArgs(s.t, "objective", &objective)
	s.terms.objective = s.duration(objective)
	urgent := "0s"
	td.MaybeScanArgs(s.t, "urgent", &urgent)
	s.terms.urgent = s.duration(urgent)
	var ids []string
	for _, a := range td.CmdArgs {
		if len(a.Vals) == 0 && a.Key != "no-backups" {
			ids = append(ids, a.Key)
		}
	}
	s.over = false
	s.rig = newRig(newFleet(unsent, shed, ids...), s.terms, ids...)
}

func (s *script) run(td *datadriven.TestData) {
	args := make([]string, 0, len(td.CmdArgs))
	for _, a := range td.CmdArgs {
		args = append(args, a.Key)
	}
	r := s.rig
	switch td.Cmd {
	case "start":
		s.over = false
		within := 30 * time.Second
		if td.HasArg("within") {
			var text string
			td.ScanArgs(s.t, "within", &text)
			within = s.duration(text)
		}
		r.start(s.terms, within)
	case "answers":
		r.fleet.engines[args[0]].answers = args[1:]
	case "moves":
		r.fleet.engines[args[0]].moves = args[1:]
	case "old":
		streams := r.fleet.engines[args[1]].streams
		s.act(streams[len(streams)-2], args[0], args[2:])
	case "heedless":
		r.fleet.engines[args[0]].heedless = true
	case "mute":
		r.fleet.engines[args[0]].mute = true
	case "release":
		r.fleet.release(args[0])
	case "drain":
		r.drain(args[0])
	case "ready":
		r.setState(args[0], registry.Ready)
	case "restart":
		r.fleet.restart(args[0], int64(s.number(args[1]))*1000)
	case "learn":
		r.learn(args[0])
	case "loads":
		s.noteLoads()
	case "gone":
		r.gone(args[0])
	case "declines":
		r.relay.Directory.Decline(args[0])
	case "cordon":
		r.cordon(args)
	case "age":
		r.age = s.duration(args[0])
	case "says":
		r.fleet.engines[args[0]].leaves = strings.Join(args[1:], " ")
	case "peer":
		r.relay.EngineLoad.UpdatePeer(args[0], []digest.Load{{Server: args[1], Streams: 1}})
	case "load":
		r.load(args[0], s.number(args[1]), s.number(args[2]))
	case "took":
		r.relay.AccountShares.RecordTokens(args[0], s.number(args[1]))
	case "short":
		r.relay.AccountShares.RecordRefusal(args[0])
	case "spend":
		r.relay.RetryBudget.TakeRetry(r.service.Name)
	case "advance":
		r.advance(s.duration(args[0]))
	case "pause":
		r.clock.Advance(s.duration(args[0]))
	case "leave":
		r.caller()
	case "deaf":
		r.sink.gone = true
	case "full":
		r.sink.fill()
	case "takes":
		r.sink.empty(nil)
	case "gives-way":
		r.sink.empty(errTooSlow)
	default:
		s.act(r.fleet.engines[args[0]].newest(), td.Cmd, args[1:])
	}
	synctest.Wait()
}

// noteLoads records what this box publishes about its generations.
func (s *script) noteLoads() {
	own := s.rig.relay.EngineLoad.OwnLoads()
	slices.SortFunc(own, func(a, b digest.Load) int { return cmp.Compare(a.Server, b.Server) })
	for _, l := range own {
		s.rig.fleet.note("%s: streams=%d bare=%d copies=%t", l.Server, l.Streams, l.Bare, l.Copies > 0)
	}
}

func (s *script) act(stream *stream, what string, args []string) {
	if stream == nil {
		s.rig.fleet.note("there is no stream")
		return
	}
	switch what {
	case "say":
		n, err := strconv.Atoi(args[0])
		require.NoError(s.t, err)
		stream.say(n)
	case "part":
		n := 0
		if len(args) > 0 {
			var err error
			n, err = strconv.Atoi(args[0])
			require.NoError(s.t, err)
		}
		stream.sayPart(n)
	case "end":
		stream.end(io.EOF)
	case "break":
		stream.end(io.ErrUnexpectedEOF)
	case "comment":
		go stream.give(piece{data: []byte(": waiting\n\n")})
	case "cut":
		go stream.give(piece{err: io.ErrUnexpectedEOF})
	case "panic":
		stream.end(errDefect)
	default:
		s.t.Fatalf("unknown action %q", what)
	}
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	return d
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: run (\d+)\n\n`)

// show prints the effects since the last command.
func (s *script) show() string {
	var b strings.Builder
	for _, line := range s.rig.fleet.take() {
		fmt.Fprintln(&b, line)
	}
	if fresh := s.rig.sink.fresh(); fresh != "" {
		b.WriteString("caller:")
		for _, m := range eventPattern.FindAllStringSubmatch(fresh, -1) {
			fmt.Fprintf(&b, " %s", m[1])
		}
		if rest := eventPattern.ReplaceAllString(fresh, ""); rest != "" {
			fmt.Fprintf(&b, " %q", rest)
		}
		b.WriteString("\n")
	}
	if s.rig.done != nil && s.rig.ended() && !s.over {
		s.over = true
		fmt.Fprintf(&b, "%s\n", kind(s.rig.err))
		if s.rig.err != nil {
			fmt.Fprintf(&b, "  %s\n", strings.ReplaceAll(s.rig.err.Error(), "\n", "\n  "))
		}
	}
	return b.String()
}
