package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventGap is the time between two events of a sound engine, prefill that until the first one.
	eventGap = 60 * time.Millisecond
	prefill  = 120 * time.Millisecond
	// stride is the number of tokens of an event.
	stride = 4
)

// fleet is a set of model engines that keep copies for each other.
type fleet struct {
	rig *rig
	// events is the length of each answer.
	events int

	mu      sync.Mutex
	engines map[string]*engine // by registered address
	handles int
}

// engine is a model server.
type engine struct {
	*server

	fleet *fleet
	// registered is the address in the server's entry.
	registered string
	// slow is how many times as long each event takes; 0 counts as 1.
	slow atomic.Int64
	// comments is the silence after which a comment line is sent, 0 for none.
	comments time.Duration
	// byWrite is set for an engine that finds out that a connection has closed when a write to it fails.
	byWrite bool

	mu     sync.Mutex
	runs   map[string]*generation
	copies map[string]bool // by handle or id of the run
}

// generation is a run of a request at an engine.
type generation struct {
	id        string
	began     time.Time
	continued bool
	stop      chan struct{}
	made      int
}

func newFleet(r *rig, events int) *fleet {
	return &fleet{rig: r, events: events, engines: make(map[string]*engine)}
}

// add starts an engine. advertise returns the address to register for the one that it listens on.
func (f *fleet) add(id, zone string, byWrite bool, advertise func(addr string) (string, error)) (*engine, error) {
	e := &engine{fleet: f, byWrite: byWrite, runs: make(map[string]*generation), copies: make(map[string]bool)}
	s, err := f.rig.newServer(id, "engines", zone, e.serve)
	if err != nil {
		return nil, err
	}
	e.server, e.registered = s, s.addr
	if advertise != nil {
		if e.registered, err = advertise(s.addr); err != nil {
			return nil, err
		}
		s.addr = e.registered
	}
	f.mu.Lock()
	f.engines[e.registered] = e
	f.mu.Unlock()
	s.register("ready")
	return e, nil
}

func (f *fleet) at(addr string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[addr]
}

func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/dalebend/kv-move":
		e.move(w, q)
	case strings.HasPrefix(q.URL.Path, "/dalebend/kv-handle/"):
		e.free(strings.TrimPrefix(q.URL.Path, "/dalebend/kv-handle/"))
	case q.URL.Path == "/dalebend/report":
		e.mu.Lock()
		running := len(e.runs)
		e.mu.Unlock()
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"running":%d,"kv_used":0,"kv_total":90000,"handles":0}`, running)
	default:
		e.generate(w, q)
	}
}

// free drops a copy here and at all others that hold it.
func (e *engine) free(name string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, other := range e.fleet.engines {
		other.mu.Lock()
		delete(other.copies, name)
		other.mu.Unlock()
	}
}

// move copies the memory of a run to another engine, and stops it first if it is told to.
func (e *engine) move(w http.ResponseWriter, q *http.Request) {
	var m struct {
		ID     string `json:"id"`
		Target string `json:"target_version"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(q.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.runs[m.ID]
	e.mu.Unlock()
	target := e.fleet.at(m.Target)
	if g == nil || target == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.fleet.rig.record.add("%s is asked to copy the memory of %s to %s, stop %v", e.id, m.ID, target.id, m.Last)
	if m.Last {
		e.end(g)
	}
	e.fleet.mu.Lock()
	e.fleet.handles++
	handle := fmt.Sprintf("h-%d", e.fleet.handles)
	e.fleet.mu.Unlock()
	target.mu.Lock()
	target.copies[handle] = true
	target.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"handle":%q,"made":%d}`, handle, g.made)
}

// end ends a run.
func (e *engine) end(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[g.id] == g {
		delete(e.runs, g.id)
		close(g.stop)
	}
}

// begin starts a run, from a copy if the request names one. It returns the last event that the caller has.
func (e *engine) begin(q *http.Request) (g *generation, last int, ok bool) {
	id := q.Header.Get("Attempt-Id")
	if from := q.Header.Get("Kv-From"); from != "" {
		_, name, _ := strings.Cut(from, "/")
		e.mu.Lock()
		held := e.copies[name]
		delete(e.copies, name)
		e.mu.Unlock()
		if !held {
			return nil, 0, false
		}
		last, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	}
	g = &generation{id: id, began: time.Now(), continued: last > 0, stop: make(chan struct{}), made: last}
	e.mu.Lock()
	e.runs[id] = g
	e.mu.Unlock()
	backup := q.Header.Get("Kv-Backup")
	if to := e.fleet.at(backup); to != nil {
		to.mu.Lock()
		to.copies[id] = true
		to.mu.Unlock()
	}
	e.fleet.rig.record.add("%s begins %s after event %d, with a copy at %q", e.id, id, last, backup)
	return g, last, true
}

// generate runs a request.
func (e *engine) generate(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Attempt-Id")
	g, last, ok := e.begin(q)
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(g)
	w.Header().Set("Response-Seal", seal(e.id, id))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	closed := q.Context().Done()
	wait := prefill
	if g.continued {
		wait = eventGap
	}
	for n := last + 1; n <= e.fleet.events; n++ {
		gone := closed
		if e.byWrite {
			gone = nil
		}
		if e.comments > 0 && wait > e.comments && n > last+1 {
			time.Sleep(e.comments)
			_, _ = io.WriteString(w, ": waiting\n\n")
			_ = out.Flush()
			wait -= e.comments
		}
		select {
		case <-time.After(wait):
		case <-g.stop:
			e.fleet.rig.record.add("%s has stopped %s for a move", e.id, id)
			panic(http.ErrAbortHandler)
		case <-gone:
			e.fleet.rig.record.add("%s drops %s, its connection has closed", e.id, id)
			return
		}
		e.mu.Lock()
		g.made = n
		e.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if err := out.Flush(); err != nil {
			e.fleet.rig.record.add("%s drops %s, a write to its connection failed", e.id, id)
			return
		}
		wait = eventGap * time.Duration(max(1, e.slow.Load()))
	}
	e.fleet.rig.record.add("%s has completed %s", e.id, id)
}

// working returns the engines that work on a request now, the newest first, and since when.
func (f *fleet) working(id string) (names []string, began []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.mu.Lock()
		if g := e.runs[id]; g != nil {
			names, began = append(names, e.id), append(began, g.began)
		}
		e.mu.Unlock()
	}
	if len(names) == 2 && began[0].Before(began[1]) {
		names[0], names[1], began[0], began[1] = names[1], names[0], began[1], began[0]
	}
	return names, began
}
