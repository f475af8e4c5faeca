package streaming

import (
	"context"
	"errors"
	"io"
)

// readBufferBytes is the size of the read buffer: some ten events.
const readBufferBytes = 4 << 10

// pump passes events on until the stream has ended, resuming it on other engines as needed.
func (x *run) pump(ctx context.Context) error {
	buf := make([]byte, readBufferBytes)
	var a *answer
	// Closes the answer after a panic too; otherwise it is closed already.
	defer func() { a.close() }()
	for {
		a = x.current()
		if err := x.awaitCaller(ctx); err != nil {
			a.close()
			return &Broken{cause: err}
		}
		n, err := a.Body.Read(buf)
		passErr := x.pass(buf[:n])
		if err == nil && passErr == nil {
			continue
		}
		a.close()
		if passErr == nil {
			passErr = x.endAnswer(ctx, err)
		}
		if errors.Is(passErr, errSwitched) {
			continue
		}
		if passErr != nil {
			return &Broken{cause: passErr}
		}
		if errors.Is(err, io.EOF) && x.endedCleanly(ctx, a) {
			x.recordFinished()
			return nil
		}
		if err := x.resumeElsewhere(ctx, err); err != nil {
			return &Broken{cause: err}
		}
	}
}

// endAnswer clears the present answer, which ended with the given error, so that no switch starts before
// the stream resumes. It waits for a pending switch.
func (x *run) endAnswer(ctx context.Context, ended error) error {
	if err := x.awaitSwitchover(ctx, ended); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answer = nil
	return nil
}

func (x *run) current() *answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.answer
}

// pass hands complete events to the sink, or returns errSwitched if the stream has switched to another
// engine, which sends them again.
func (x *run) pass(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	x.lastEvent.Store(x.relay.Clock.Now())
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.switchover; c != nil {
		if c.answer != nil {
			x.adopt(c)
			return errSwitched
		}
		if !c.sent && !c.stops {
			c.withdraw()
		}
	}
	events, ok := x.split.Add(p)
	if !ok {
		return errors.New("an event is too large")
	}
	if events == nil {
		return nil
	}
	if err := x.sink.Events(events); err != nil {
		return err
	}
	x.passedBytes += len(events)
	x.split.Commit(events)
	x.adoptNewInstance()
	x.recordEventTime()
	x.recordDecodeTime()
	x.load.SetGenerated(x.split.Events() * x.job.Service.Engine.TokensPerEvent)
	return nil
}

// adoptNewInstance accounts for the generation at the present instance of its engine. An instance
// that the box learnt of after the send, and that still sends events, has run it all along. The
// lock must be held.
func (x *run) adoptNewInstance() {
	if x.move != nil {
		return
	}
	if now := x.relay.Directory.NewerInstance(x.engine); now != nil {
		x.engine = now
		x.load.Move(now.ID, idOf(x.backup))
	}
}

// endedCleanly reports whether a clean end of the body is the end of the whole answer. An engine
// that stops a generation for a move breaks off its stream. Without framing, this looks like a
// clean end; then the outcome of the move decides. A stream without framing and without an event is
// that of an engine that ended as it began.
func (x *run) endedCleanly(ctx context.Context, a *answer) bool {
	x.mu.Lock()
	m := x.move
	stopped := m != nil && m.stopping && a.Unframed()
	broken := x.split.Partial() || a.Unframed() && x.split.Events() == 0
	x.mu.Unlock()
	if broken || !stopped {
		return !broken
	}
	select {
	case <-m.done:
		return m.tooLate
	case <-ctx.Done():
		return false
	}
}

// recordFinished records the answer's length for the estimators and logs the end.
func (x *run) recordFinished() {
	x.mu.Lock()
	tokens := x.split.Events() * x.job.Service.Engine.TokensPerEvent
	x.mu.Unlock()
	x.relay.AnswerLengths.Observe(lengthKey(x.job), tokens)
	x.relay.AnswerLengths.Hints(lengthKey(x.job)).Observe(x.job.Request.HintTokens, tokens)
	x.logEnded()
}
