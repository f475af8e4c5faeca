package box_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/platform/standin"
)

// chat returns a request for a generation that is expected to be long.
func chat(id string) standin.Call {
	return standin.Call{
		ID: id, Method: "POST", Host: "chat.test", URI: "/chat", Body: "{}", Timeout: 10 * time.Minute, PromptTokens: 100, MaxTokens: 400,
	}
}

// events returns some events of an answer.
func events(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(standin.Event(id, n))
	}
	return b.String()
}

// generation is a caller of a stream.
type generation struct {
	t     *testing.T
	id    string
	leave context.CancelFunc
	reply chan *standin.Reply
	got   *standin.Reply
}

// begin sends a generation. Its answer begins with the first event.
func (r *rig) begin(id string) *generation {
	ctx, cancel := context.WithCancel(r.t.Context())
	g := &generation{t: r.t, id: id, leave: cancel, reply: make(chan *standin.Reply, 1)}
	go func() {
		reply, err := standin.Send(ctx, r.settings.Front, chat(id))
		if err != nil {
			close(g.reply)
			return
		}
		g.reply <- reply
	}()
	return g
}

// head returns the header of the answer.
func (g *generation) head() *standin.Reply {
	g.t.Helper()
	if g.got == nil {
		g.got = <-g.reply
		require.NotNil(g.t, g.got, "no answer")
	}
	return g.got
}

// expect requires that the given events arrive next.
func (g *generation) expect(from, to int) {
	g.t.Helper()
	want := events(g.id, from, to)
	got := make([]byte, len(want))
	_, err := io.ReadFull(g.head().Body, got)
	require.NoError(g.t, err)
	require.Equal(g.t, want, string(got))
}

// whole requires that the answer ends here and is complete.
func (g *generation) whole() {
	g.t.Helper()
	rest, err := g.head().Text()
	require.NoError(g.t, err)
	require.Empty(g.t, rest)
}

// brokenOff requires that the answer ends here and is incomplete.
func (g *generation) brokenOff() {
	g.t.Helper()
	rest, err := g.head().Text()
	require.Error(g.t, err)
	require.Empty(g.t, rest)
}

// either returns the run that begins at one of two engines, and the other engine.
func either(a, b *standin.BackendServer) (run *standin.Generation, at, other *standin.BackendServer) {
	select {
	case run = <-a.Generations:
		return run, a, b
	case run = <-b.Generations:
		return run, b, a
	}
}

// passUntilSent advances the clock in small steps until an engine gets a request. The check of
// streams may find this one busy with its last event, and runs again only as the clock advances.
func (r *rig) passUntilSent(e *standin.BackendServer) {
	r.clock.Advance(200 * time.Millisecond)
	require.Eventually(r.t, func() bool {
		if len(e.Arrivals()) > 0 {
			return true
		}
		r.clock.Advance(time.Millisecond)
		return false
	}, time.Minute, time.Millisecond)
}

// TestStream checks that events are passed on as they arrive, with the server's headers.
func TestStream(t *testing.T) {
	r, engines := withServers(t, "chat", "a")
	g := r.begin("q1")
	run := <-engines[0].Generations
	require.NoError(t, run.Emit(1))
	g.expect(1, 1)
	require.Equal(t, "q1", g.head().ID)
	require.Equal(t, "proof of a for q1", g.head().Proof)
	require.NoError(t, run.Emit(2))
	g.expect(2, 3)
	run.End()
	g.whole()
	seen := engines[0].Arrivals()
	require.Len(t, seen, 1)
	require.Equal(t, "1", seen[0].Priority)
	require.Equal(t, "{}", seen[0].Body)
}

// TestStreamGoesOn checks that a stream that breaks, stalls or loses its engine continues at the
// engine with its copy, as the same run.
func TestStreamGoesOn(t *testing.T) {
	for name, disturb := range map[string]func(r *rig, run *standin.Generation, at, other *standin.BackendServer){
		"break":   func(_ *rig, run *standin.Generation, _, _ *standin.BackendServer) { run.Break() },
		"crash":   func(_ *rig, _ *standin.Generation, at, _ *standin.BackendServer) { at.Crash() },
		"silence": func(r *rig, _ *standin.Generation, _, other *standin.BackendServer) { r.passUntilSent(other) },
		"drained, then gone": func(r *rig, _ *standin.Generation, at, _ *standin.BackendServer) {
			at.SetDraining()
			r.awaitServers(2, 1)
			at.Crash()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, a, b := withEngines(t, noMoves)
			g := r.begin("q1")
			run, at, other := either(a, b)
			require.NoError(t, run.Emit(2))
			g.expect(1, 2)
			disturb(r, run, at, other)
			next := <-other.Generations
			<-run.Disconnected
			require.NoError(t, next.Emit(2))
			g.expect(3, 4)
			next.End()
			g.whole()
			require.Equal(t, 1, r.engines.FreshRuns("q1"))
			require.Len(t, at.Arrivals(), 1)
			require.Len(t, other.Arrivals(), 1)
		})
	}
}

// withEngines runs a box with two engines, whose service configuration the test changes.
func withEngines(t *testing.T, change func(e *standin.ConfigEngine)) (r *rig, a, b *standin.BackendServer) {
	t.Helper()
	r = newRig(t)
	c := config(1)
	change(c.Services[1].Engine)
	r.store.PutConfig(c)
	a, b = r.server("a", "chat"), r.server("b", "chat")
	r.run()
	r.awaitConfig(1)
	r.awaitServers(2, 0)
	return r, a, b
}

// noMoves leaves a backup as the only way to continue a generation, noCopies a migration.
func noMoves(e *standin.ConfigEngine)  { e.Moves = false }
func noCopies(e *standin.ConfigEngine) { e.Backups = false }

// TestStreamMoves checks that a draining engine's generation is migrated if there are no backups.
func TestStreamMoves(t *testing.T) {
	r, a, b := withEngines(t, noCopies)
	g := r.begin("q1")
	run, at, other := either(a, b)
	require.NoError(t, run.Emit(2))
	g.expect(1, 2)
	at.SetDraining()
	next := <-other.Generations
	<-run.Disconnected
	require.NoError(t, next.Emit(1))
	g.expect(3, 3)
	next.End()
	g.whole()
	require.Equal(t, 1, r.engines.FreshRuns("q1"))
}

// TestStreamMoveWithoutRoom checks that a generation stays if no engine has capacity for it.
func TestStreamMoveWithoutRoom(t *testing.T) {
	r, a, b := withEngines(t, noCopies)
	g := r.begin("q1")
	run, at, other := either(a, b)
	other.RefuseCopies(true)
	require.NoError(t, run.Emit(2))
	g.expect(1, 2)
	at.SetDraining()
	r.log.await(event.StreamMoveFailed, nil)
	require.NoError(t, run.Emit(1))
	g.expect(3, 3)
	run.End()
	g.whole()
	require.Empty(t, other.Arrivals())
}

// TestStreamLost checks that a stream that can't continue is broken off and doesn't look complete.
func TestStreamLost(t *testing.T) {
	r, engines := withServers(t, "chat", "a", "b")
	g := r.begin("q1")
	run, _, other := either(engines[0], engines[1])
	require.NoError(t, run.Emit(2))
	g.expect(1, 2)
	other.SetAnswers(standin.Overloaded)
	run.Break()
	g.brokenOff()
	require.Equal(t, 1, r.engines.FreshRuns("q1"))
}

// TestStreamAnswers checks the answers if no stream begins.
func TestStreamAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		modes         []standin.AnswerMode
		status, begun int
		retry         bool
	}{
		"all full":       {modes: []standin.AnswerMode{standin.Overloaded, standin.Overloaded}, status: 503, retry: true},
		"failed":         {modes: []standin.AnswerMode{standin.Failed}, status: 500, begun: 1},
		"cut and full":   {modes: []standin.AnswerMode{standin.ResetUnanswered, standin.Overloaded}, status: 502, begun: 1},
		"unproven twice": {modes: []standin.AnswerMode{standin.NoProof, standin.NoProof}, status: 502, begun: 1},
		"foreign twice":  {modes: []standin.AnswerMode{standin.WrongAnswer, standin.WrongAnswer}, status: 502, begun: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := withServers(t, "chat", "a", "b")
			r.engines.SetAnswers(c.modes...)
			got, _ := r.ask(chat("q1"))
			require.Equal(t, c.status, got.Status)
			require.Equal(t, c.retry, got.RetryAfter != "")
			require.Equal(t, c.begun, r.engines.FreshRuns("q1"))
			require.Equal(t, "q1", got.ID)
			require.Equal(t, c.status == http.StatusInternalServerError, got.Proof != "")
		})
	}
}

// TestTheCallerLeaves checks that a generation is cancelled at the engine if its caller goes away,
// before or after its first event.
func TestTheCallerLeaves(t *testing.T) {
	r, engines := withServers(t, "chat", "a")
	g := r.begin("q1")
	run := <-engines[0].Generations
	g.leave()
	<-run.Disconnected
	g = r.begin("q2")
	run = <-engines[0].Generations
	require.NoError(t, run.Emit(1))
	g.expect(1, 1)
	g.leave()
	<-run.Disconnected
}

// TestStopServesOn checks that a stopping box fails its health check, finishes what runs, and then
// ends.
func TestStopServesOn(t *testing.T) {
	r, engines := withServers(t, "chat", "a")
	plain := r.server("p", "plain")
	r.awaitServers(2, 0)
	g := r.begin("q1")
	run := <-engines[0].Generations
	require.NoError(t, run.Emit(1))
	g.expect(1, 1)
	require.True(t, r.ready())
	stop := r.stop
	r.stop = nil
	stop()
	r.awaitTicker(stopTicker)
	require.False(t, r.ready())
	got, _ := r.ask(standin.Call{ID: "q2", Host: "once.test", URI: "/", Timeout: 2 * time.Second})
	require.Equal(t, http.StatusOK, got.Status)
	require.True(t, got.Close)
	got, _ = r.ask(standin.Call{ID: "q3", Host: "once.test", URI: "/", Timeout: 20 * time.Second})
	require.Equal(t, http.StatusServiceUnavailable, got.Status, "it may take longer than the box lives")
	require.Len(t, plain.Arrivals(), 1)
	require.NoError(t, run.Emit(1))
	g.expect(2, 2)
	run.End()
	g.whole()
	r.clock.Advance(3 * time.Second)
	require.NoError(t, <-r.ended)
}

// TestStopEndsWithLastRequest guards against a stop that goes on after the last request has ended,
// until the next check by the clock.
func TestStopEndsWithLastRequest(t *testing.T) {
	r, engines := withServers(t, "chat", "a")
	g := r.begin("q1")
	run := <-engines[0].Generations
	require.NoError(t, run.Emit(1))
	g.expect(1, 1)
	stop := r.stop
	r.stop = nil
	stop()
	r.awaitTicker(stopTicker)
	r.clock.Advance(3 * time.Second)
	require.False(t, r.ready(), "the box still runs")
	run.End()
	g.whole()
	require.NoError(t, <-r.ended)
}

// TestStopEnds checks that what doesn't finish in time is broken off.
func TestStopEnds(t *testing.T) {
	r, engines := withServers(t, "chat", "a")
	g := r.begin("q1")
	run := <-engines[0].Generations
	require.NoError(t, run.Emit(1))
	g.expect(1, 1)
	r.end()
	g.brokenOff()
	<-run.Disconnected
}
