package inject

import (
	"context"
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

// gone is the trouble of a server that has ended.
const gone history.Kind = "server-gone"

const (
	// silentFor is how long the entry of a server that crashed stays: three of the
	// shortest heartbeats.
	silentFor = time.Second
	// badAnswers is how many requests in a row a server answers badly, at most.
	badAnswers = 30
	// pickShift parts a pick in two: where badModes begins, and the step from one mode
	// to the next.
	pickShift = 8
	// breakAfter is the time from a restart until streams of other engines break: boxes must
	// know of the new start by then, and streams that began before run on.
	breakAfter = 850 * time.Millisecond
	// breakFor is how long connections are refused then: some round trips.
	breakFor = 20 * time.Millisecond
	// serversBroken is how many servers that strikes; every other one is an engine.
	serversBroken = 2
	// mostTurned is how many requests full servers turn away, at most: more than the
	// retry budget of a short run.
	mostTurned = 400
)

// badModes are the ways in which servers answer badly.
func badModes() []standin.AnswerMode {
	return []standin.AnswerMode{
		standin.Overloaded, standin.Failed, standin.Truncated, standin.ResetUnanswered, standin.NoProof, standin.ExtraBefore,
		standin.ExtraAfter, standin.WrongAnswer, standin.NoAnswer,
	}
}

// server lets a server, or all, fail or leave.
func (i *Injector) server(ctx context.Context, a schedule.Act) error {
	switch a.Kind {
	case schedule.ServerAnswers:
		e, _ := i.Fleet.At(a.Target)
		i.disturb(ctx, a, history.OnServer, e.ID, func() func() { return answerBadly(e, a.Pick) })
		return nil
	case schedule.ServersFull:
		i.disturb(ctx, a, history.OnServer, "", func() func() { return i.Fleet.TurnAway(a.Pick % mostTurned) })
		return nil
	case schedule.ServerRestarts:
		return i.restart(ctx, a)
	case schedule.ServerLimits:
		i.limit(ctx, a)
		return nil
	case schedule.ServerStatesHuge:
		i.disturb(ctx, a, history.OnServer, "", func() func() {
			return i.everyOther(a, standin.HugeChunk, standin.HugeFirstChunk, standin.HugeLength)
		})
		return nil
	case schedule.ServerCutsHeads:
		i.disturb(ctx, a, history.OnServer, "", func() func() { return i.everyOther(a, standin.CutHead) })
		return nil
	case schedule.ServerEndless:
		i.disturb(ctx, a, history.OnServer, "", func() func() { return i.everyOther(a, standin.EndlessHead, standin.EndlessBody) })
		return nil
	case schedule.EnginesSlow:
		i.slowDown(ctx, a)
		return nil
	case schedule.ServerHoldsOff:
		i.holdOff(ctx, a)
		return nil
	default:
		return i.replace(ctx, a)
	}
}

// restart lets a server crash and start again under its id.
func (i *Injector) restart(ctx context.Context, a schedule.Act) error {
	var again history.Restart
	over := func() {}
	err := i.Fleet.Restart(a.Target, func(e *standin.BackendServer) {
		over = i.Record.Trouble(a.Kind, history.OnServer, e.ID)
		again.Server = e.ID
		e.Crash()
		pause.For(ctx, i.Clock, a.Lasts)
	})
	over()
	if err != nil {
		return fmt.Errorf("restart a server: %w", err)
	}
	again.Acked = i.Record.Now()
	i.Record.Add(func(h *history.History) { h.Restarts = append(h.Restarts, again) })
	pause.For(ctx, i.Clock, breakAfter)
	i.breakStreams(ctx, a)
	return nil
}

// breakStreams resets the connections of the servers next to the one that an act struck: their
// streams go on where their copies are.
func (i *Injector) breakStreams(ctx context.Context, a schedule.Act) {
	for n := range serversBroken {
		server, link := i.Fleet.At(a.Target + 1 + n)
		defer i.Record.Trouble(schedule.ServersLinks+schedule.Reset, history.OnServer, server.ID)()
		defer impair(link, schedule.Reset, a.Pick)()
	}
	pause.For(ctx, i.Clock, breakFor)
}

// replace starts a server in the place of another one, which crashes or leaves.
func (i *Injector) replace(ctx context.Context, a schedule.Act) error {
	e, err := i.Fleet.Replace(a.Target)
	if err != nil {
		return fmt.Errorf("replace a server: %w", err)
	}
	if a.Kind == schedule.ServerCrashes {
		return i.crash(ctx, e)
	}
	if a.Kind == schedule.ServerLeavesUnheard {
		e.AnnounceLeaving()
		pause.For(ctx, i.Clock, a.Lasts)
	}
	return i.leave(ctx, a, e)
}

// crash ends a server; its entry stays for a while.
func (i *Injector) crash(ctx context.Context, e *standin.BackendServer) error {
	i.Record.Trouble(gone, history.OnServer, e.ID)
	err := i.Fleet.End(e)
	pause.For(ctx, i.Clock, silentFor)
	e.Deregister()
	return err
}

// leave takes a server away, having announced it or not: it serves for as long as it
// must, and a little longer.
func (i *Injector) leave(ctx context.Context, a schedule.Act, e *standin.BackendServer) error {
	switch a.Kind {
	case schedule.ServerVanishes:
		e.Deregister()
	case schedule.FollowersCut, schedule.BoxesSleep:
		e.SetDraining()
	default:
		e.AnnounceLeaving()
		e.SetDraining()
	}
	left := history.Leaving{Server: e.ID, Acked: i.Record.Now()}
	i.Record.Add(func(h *history.History) { h.Leavings = append(h.Leavings, left) })
	pause.For(ctx, i.Clock, i.Serves+a.Lasts)
	e.Deregister()
	i.Record.Trouble(gone, history.OnServer, e.ID)
	return i.Fleet.End(e)
}

// answerBadly lets a server answer badly for a while, in one way or in several.
func answerBadly(e *standin.BackendServer, pick int) (mend func()) {
	modes := badModes()
	var answers []standin.AnswerMode
	for n := range 1 + pick%badAnswers {
		answers = append(answers, modes[(pick+n*(pick>>pickShift))%len(modes)])
	}
	e.SetAnswers(answers...)
	return func() { e.SetAnswers() }
}
