package streaming_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	"github.com/dalebend/dalebend/internal/exchange"
)

// fleet models a few engines behind the relay's Exchanger and Mover. A copy is where the engines
// put it and serves once. Tests set which calls fail.
type fleet struct {
	notSent error
	full    error

	mu      sync.Mutex
	engines map[string]*engine
	// runs counts the runs that did not resume from a copy.
	runs int
	// copies maps HOLDER/NAME to the copies.
	copies map[string]*memory
	// made numbers the copies for their names.
	made int
	log  []string
	// faults are violations of a contract by the relay.
	faults []string
	// now is the time of the test.
	now func() time.Time
	// works are the runs at engines, in the order of their beginnings.
	works []*work
}

// engine is one model engine.
type engine struct {
	id string
	// answers and moves are the outcomes of the next calls; once used up, all calls succeed.
	answers []string
	moves   []string
	// born is the start time as in registry.Server.Born; 0 if the engine does not report it.
	born int64
	// leaves is the reported departure: "not yet", "soon" or "nothing".
	leaves string
	// heedless means that it does not notice that a connection has closed.
	heedless bool
	// mute means that calls to free a copy get no answer.
	mute bool
	// held is closed to release hanging calls.
	held chan struct{}
	// streams are all streams of the engine, the newest last.
	streams []*stream
}

// overlapBound is how long an engine may go on with a run that has begun at another one.
const overlapBound = 400 * time.Millisecond

// work is a run at one engine, from its beginning until the engine sees the end of the request's connection.
type work struct {
	run    int
	engine string
	began  time.Time
	active func() bool
	// reported is set once another engine was found to go on beside it.
	reported bool
}

// checkOverlap finds runs that two engines work on for too long.
func (f *fleet) checkOverlap() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, earlier := range f.works {
		for _, later := range f.works[i+1:] {
			if later.run == earlier.run && later.engine != earlier.engine && earlier.active() &&
				f.now().Sub(later.began) > overlapBound && !later.reported {
				later.reported = true
				f.faults = append(f.faults, fmt.Sprintf("%s works on run %d long after %s has begun", earlier.engine, earlier.run, later.engine))
			}
		}
	}
}

// lose runs a generation whose answer is lost, until its connection ends.
func (f *fleet) lose(ctx context.Context, e *engine, h http.Header) (*exchange.Response, error) {
	f.mu.Lock()
	run, _, ok := f.begin(e, h)
	if ok {
		f.works = append(f.works, &work{run: run, engine: e.id, began: f.now(), active: func() bool { return !isOver(ctx.Done()) }})
	}
	f.mu.Unlock()
	if !ok {
		return plain(http.StatusServiceUnavailable, headerNotRun), nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// isOver reports whether a channel is closed.
func isOver(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func newFleet(notSent, full error, ids ...string) *fleet {
	f := &fleet{notSent: notSent, full: full, engines: make(map[string]*engine), copies: make(map[string]*memory)}
	for _, id := range ids {
		f.engines[id] = &engine{id: id, leaves: "not yet", held: make(chan struct{})}
	}
	return f
}

func addrOf(id string) string { return id + ":80" }

func idAt(addr string) string { return strings.TrimSuffix(addr, ":80") }

func (f *fleet) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// take returns the events recorded since the last call.
func (f *fleet) take() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.log
	f.log = nil
	return log
}

// next removes and returns the first of a list of modes.
func next(modes *[]string) string {
	if len(*modes) == 0 {
		return "ok"
	}
	mode := (*modes)[0]
	*modes = (*modes)[1:]
	return mode
}

// Do answers a request with the engine's next configured outcome.
func (f *fleet) Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error) {
	f.mu.Lock()
	e := f.engines[idAt(t.Addr)]
	mode, held := next(&e.answers), e.held
	f.note("%s -> %s%s", e.id, mode, describe(r.Header))
	f.mu.Unlock()
	if rest, dials := strings.CutPrefix(mode, "dial-"); dials {
		mode = rest
		select {
		case <-held:
		case <-ctx.Done():
			return nil, f.notSent
		}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.note("%s gets nothing: %v", e.id, err)
			return nil, f.notSent
		}
	}
	if rest, hangs := strings.CutPrefix(mode, "hang-"); hangs {
		mode = rest
		select {
		case <-held:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if mode == "lost" {
		return f.lose(ctx, e, r.Header)
	}
	if rest, late := strings.CutPrefix(mode, "late-"); late {
		// The answer was already on its way when the caller left.
		mode = rest
		<-held
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer(ctx, e, mode, r.Header)
}

func describe(h http.Header) string {
	var b strings.Builder
	if v := h.Get(headerBackup); v != "" {
		b.WriteString(" backup=" + idAt(v))
	}
	if h.Get(headerCopy) != "" {
		fmt.Fprintf(&b, " from=%s/%s last=%s", idAt(h.Get(headerHolder)), h.Get(headerCopy), h.Get(headerLast))
	}
	return b.String()
}

func (f *fleet) answer(ctx context.Context, e *engine, mode string, h http.Header) (*exchange.Response, error) {
	switch mode {
	case "not-sent":
		return nil, f.notSent
	case "full":
		return nil, f.full
	case "turn-away":
		return plain(http.StatusServiceUnavailable, headerNotRun), nil
	case "moved":
		return plain(http.StatusMisdirectedRequest, headerNotRun), nil
	}
	run, after, ok := f.begin(e, h)
	if !ok {
		f.note("%s has no such copy", e.id)
		return plain(http.StatusServiceUnavailable, headerNotRun), nil
	}
	switch mode {
	case "reset":
		f.backUp(h, run)
		return nil, errReset
	case "panic":
		panic(errDefect)
	case "unproven":
		return plain(http.StatusOK, "X-Other"), nil
	case "failed":
		return plain(http.StatusInternalServerError, headerProof), nil
	case "failed-endless":
		return withBody(http.StatusInternalServerError, headerProof, endless{}), nil
	case "failed-torn":
		return withBody(http.StatusInternalServerError, headerProof, iotest.ErrReader(errReset)), nil
	}
	s := &stream{
		fleet: f, engine: e.id, run: run, next: after + 1, pieces: make(chan piece),
		heedless: e.heedless, ended: ctx.Done(), cause: func() error { return context.Cause(ctx) }, closed: make(chan struct{}),
	}
	e.streams = append(e.streams, s)
	f.works = append(f.works, &work{run: run, engine: e.id, began: f.now(), active: s.active})
	f.backUp(h, run)
	return &exchange.Response{Status: http.StatusOK, Header: http.Header{headerProof: {"1"}}, Body: s}, nil
}

// begin starts a run or resumes one from a copy. It returns the last event that the caller has.
func (f *fleet) begin(e *engine, h http.Header) (run, after int, ok bool) {
	name := h.Get(headerCopy)
	if name == "" {
		f.runs++
		return f.runs, 0, true
	}
	key := h.Get(headerHolder) + "/" + name
	m := f.copies[key]
	if m == nil || m.at != addrOf(e.id) && m.source != addrOf(e.id) {
		return 0, 0, false
	}
	delete(f.copies, key)
	after, err := strconv.Atoi("0" + h.Get(headerLast))
	if err != nil {
		f.faults = append(f.faults, "last event "+h.Get(headerLast))
	}
	return m.run, after, true
}

// backUp puts a copy at the backup engine, named by the request id.
func (f *fleet) backUp(h http.Header, run int) {
	if addr := h.Get(headerBackup); addr != "" {
		f.copies[addr+"/"+h.Get(headerRequest)] = &memory{run: run, at: addr}
	}
}

func plain(status int, header string) *exchange.Response {
	return withBody(status, header, strings.NewReader("refused"))
}

func withBody(status int, header string, body io.Reader) *exchange.Response {
	return &exchange.Response{Status: status, Header: http.Header{header: {"1"}}, Body: io.NopCloser(body)}
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// errCopy stands for a copy call without a usable reply.
var errCopy = errors.New("no reply to the copy call")

// restart restarts an engine under its id: it loses its copies. Its streams stay open until the
// script ends them, as with a machine that went silent.
func (f *fleet) restart(id string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[id].born = born
	for key, m := range f.copies {
		if m.at == addrOf(id) || strings.HasPrefix(key, addrOf(id)) {
			delete(f.copies, key)
		}
	}
}

func (e *engine) newest() *stream {
	if len(e.streams) == 0 {
		return nil
	}
	return e.streams[len(e.streams)-1]
}

func (f *fleet) fault(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, text)
}

// release lets hanging calls at an engine continue.
func (f *fleet) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	close(e.held)
	e.held = make(chan struct{})
}
