package gate

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/quarantine"
)

const (
	// failedStatus is the lowest status that reports a failure of the server.
	failedStatus = 500
	// begunTime is how long after the first byte of an answer its server must still live for the answer
	// to have begun. A request that crashes its server does so within 0.1 s of that.
	begunTime = 300 * time.Millisecond
)

// answer is the body of an answer; how it goes on and ends is evidence about the request.
type answer struct {
	body    io.ReadCloser
	resp    *exchange.Response
	gate    *Gate
	target  exchange.Target
	attempt *quarantine.Attempt
	once    sync.Once
	// first is when the first byte was read, zero before. begun is set begunTime after that.
	first time.Time
	begun bool
}

// Read returns data as it arrives.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if n > 0 && !a.begun {
		a.observe()
	}
	if err != nil {
		a.once.Do(func() { a.ended(err) })
	}
	return n, err
}

// observe records that the answer has begun, once that is certain.
func (a *answer) observe() {
	switch now := a.gate.Clock.Now(); {
	case a.first.IsZero():
		a.first = now
	case now.Sub(a.first) >= begunTime:
		a.begun = true
		if !a.failed() {
			a.attempt.RecordBegun()
		}
	}
}

// Close ends the exchange.
func (a *answer) Close() error {
	a.once.Do(a.attempt.Release)
	return a.body.Close()
}

// ended records how the body ended.
func (a *answer) ended(err error) {
	switch {
	case !errors.Is(err, io.EOF):
		a.gate.failed(a.target, a.attempt, err)
	case a.gate.Codec.Authentic(a.resp.Header):
		a.completed()
	case a.failed():
		// A proxy in front of the server reports a failure: the server may have ended.
		a.gate.unverifiedFailure(a.target, a.attempt)
	default:
		a.attempt.Release()
	}
}

// completed records the end of the server's own answer.
func (a *answer) completed() {
	switch {
	case a.resp.Unframed() && (a.begun || a.failed()):
		a.attempt.Release()
	case a.resp.Unframed():
		a.gate.unframedEnd(a.target, a.attempt, a.first.IsZero())
	case a.failed():
		a.attempt.RecordFailure()
	default:
		a.attempt.RecordAnswer()
	}
}

// failed reports whether the answer reports a failure.
func (a *answer) failed() bool { return a.resp.Status >= failedStatus }

// unverifiedFailure records a failure that the server did not report itself.
func (g *Gate) unverifiedFailure(t exchange.Target, attempt *quarantine.Attempt) {
	attempt.Release()
	if g.Servers.Takes(t.Key) {
		g.watch(t.Key, attempt)
	}
}

// unframedEnd records the end of a short answer that the end of its connection marks: a server that has
// crashed looks like one that has completed it. Whether the server still accepts connections is asked
// only if that matters, as it costs one.
func (g *Gate) unframedEnd(t exchange.Target, attempt *quarantine.Attempt, empty bool) {
	if !g.Servers.Takes(t.Key) {
		attempt.Release()
		return
	}
	if !empty && !attempt.Suspected() {
		attempt.Release()
		g.watch(t.Key, attempt)
		return
	}
	g.check(t, attempt, attempt.RecordAnswer)
}
