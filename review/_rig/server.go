package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a stand-in of a model server (model set) or of a plain one, by the users' PROTOCOL page.
type Server struct {
	World   *World
	ID      string
	Service string
	Zone    string
	Model   bool
	Addr    string
	// Work is how long a plain request takes, Prefill that of a prompt, and Step that of an event.
	Work, Prefill, Step time.Duration

	ln net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	slowTo   time.Time // until then it works slowBy times as long
	slowBy   int
	closed   bool
	garble   string // written in place of the body of one in each answers to lookups, while it is set
	each     int
	lookups  int
	running  map[string]*Run
	runs     []*Run
	arrivals []Arrival
}

// Arrival is a request that reached a server.
type Arrival struct {
	At   time.Time
	ID   string
	Path string
	Ran  bool
}

// Run is the work of a server on one request.
type Run struct {
	ID     string
	Server *Server
	From   time.Time
	// Resumed is set if it went on from a copy, and Copied if another server keeps one.
	Resumed, Copied bool

	mu     sync.Mutex
	to     time.Time // zero while it lasts
	events []time.Time
	last   int
	how    string
	lost   bool
	drop   chan struct{}
	once   sync.Once
}

// Span returns from when to when the server worked on the request; to is now while it does.
func (r *Run) Span() (from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to.IsZero() {
		return r.From, time.Now()
	}
	return r.From, r.to
}

// Events returns when the server made events.
func (r *Run) Events() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.events...)
}

// memory is a copy of a run's memory at a server.
type memory struct {
	id   string
	at   string // address that may go on from it
	from *Run
}

// stride is the number of tokens in an event.
const stride = 4

// StartServer starts a server and registers it in the store.
func (w *World) StartServer(id, service, zone string, model bool) (*Server, error) {
	ln, err := net.Listen("tcp", w.part+"2:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		World: w, ID: id, Service: service, Zone: zone, Model: model, Addr: ln.Addr().String(), ln: ln,
		Work: 15 * time.Millisecond, Prefill: 150 * time.Millisecond, Step: 30 * time.Millisecond,
		conns: make(map[net.Conn]struct{}), running: make(map[string]*Run),
	}
	w.mu.Lock()
	w.servers[s.Addr] = s
	w.mu.Unlock()
	go s.accept()
	s.Register("ready")
	return s, nil
}

// Register writes the entry of the server, whose answer is the acknowledgement.
func (s *Server) Register(state string) time.Time {
	slots := 6
	if s.Model {
		slots = 24
	}
	entry := map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": "v1", "slots": slots, "state": state,
		"cold_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 4,
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.World.put("servers", s.ID, string(text))
	now := time.Now()
	s.World.Record.Add("server %s (%s at %s): its entry says %q, the store has acknowledged it", s.ID, s.Service, s.Addr, state)
	return now
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// SlowDown makes the server work x times as long for a while.
func (s *Server) SlowDown(x int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowTo, s.slowBy = time.Now().Add(d), x
	s.World.Record.Add("server %s works %d times as long for %d ms", s.ID, x, d.Milliseconds())
}

// stepNow returns the time of an event.
func (s *Server) stepNow() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.slowTo) {
		return s.Step * time.Duration(s.slowBy)
	}
	return s.Step
}

// Garble sets what the server writes in place of the body of one in each of its answers to lookups; empty for
// good answers.
func (s *Server) Garble(text string, each int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garble, s.each = text, each
}

// LoseAnswers sets how many of the next requests that begin at any server but one are run without their
// answers getting out.
func (w *World) LoseAnswers(n int, but *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose, w.loseBut = n, but
}

// loses takes one lost answer, if the server is to lose one.
func (w *World) loses(s *Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lose == 0 || s == w.loseBut {
		return false
	}
	w.lose--
	return true
}

// Runs returns all runs.
func (s *Server) Runs() []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Run(nil), s.runs...)
}

// Copied returns how many runs under way have a copy at another server.
func (s *Server) Copied() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.running {
		if r.Copied {
			n++
		}
	}
	return n
}

// Arrivals returns all requests that reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.handle(c, in, r, body) {
			return
		}
	}
}

func (s *Server) handle(c net.Conn, in *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Attempt-Id")
	path := r.URL.Path
	switch {
	case path == "/health":
		return write(c, 200, http.Header{"Instance-Id": {s.ID}}, "ok")
	case path == "/dalebend/report":
		return write(c, 200, http.Header{"Content-Type": {"application/json"}}, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"queued":0,"running":1,"kv_used":1000,"kv_total":34305,"handles":0}`)
	case path == "/dalebend/kv-move":
		return s.move(c, body)
	case strings.HasPrefix(path, "/dalebend/kv-handle/"):
		return write(c, 200, http.Header{}, "")
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{At: time.Now(), ID: id, Path: path})
	at := len(s.arrivals) - 1
	s.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		return s.refuse(c, id, 421)
	}
	if id == "" {
		return s.refuse(c, id, 400)
	}
	s.mu.Lock()
	s.arrivals[at].Ran = true
	s.mu.Unlock()
	if !s.Model {
		return s.plain(c, id, r)
	}
	return s.stream(c, in, id, r)
}

func (s *Server) refuse(c net.Conn, id string, status int) bool {
	s.World.Record.Add("server %s turns request %s away with %d", s.ID, id, status)
	h := http.Header{"Attempt-Id": {id}, "Not-Executed": {"1"}}
	if status == 421 {
		h.Set("Instance-Id", s.ID)
	}
	return write(c, status, h, "")
}

func (s *Server) seal(id string) string { return "seal." + s.ID + "." + id }

// plain runs a plain request.
func (s *Server) plain(c net.Conn, id string, r *http.Request) bool {
	run := s.begin(id, false)
	s.World.Record.Add("server %s runs request %s", s.ID, id)
	time.Sleep(s.Work)
	run.end("200")
	s.mu.Lock()
	garble := s.garble
	lookup := strings.HasPrefix(r.URL.Path, "/puxa403/")
	if lookup {
		s.lookups++
	}
	spoil := garble != "" && lookup && s.lookups%s.each == 0
	s.mu.Unlock()
	if spoil {
		s.World.Record.Add("server %s answers request %s with wrong bytes", s.ID, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", id, s.seal(id), garble)
		time.Sleep(50 * time.Millisecond)
		return false
	}
	return write(c, 200, http.Header{"Attempt-Id": {id}, "Response-Seal": {s.seal(id)}}, "answer of "+s.ID+" to "+id)
}

func (s *Server) begin(id string, resumed bool) *Run {
	run := &Run{ID: id, Server: s, From: time.Now(), Resumed: resumed, drop: make(chan struct{})}
	run.lost = s.World.loses(s)
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	return run
}

func (r *Run) end(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.to.IsZero() {
		r.to, r.how = time.Now(), how
	}
}

// stream runs a generation: it reads the prompt, makes events, and drops the request once its connection
// closes.
func (s *Server) stream(c net.Conn, in *bufio.Reader, id string, r *http.Request) bool {
	last := 0
	resumed := false
	if from := r.Header.Get("Kv-From"); from != "" {
		if !s.World.takeCopy(from, id, s.Addr) {
			s.World.Record.Add("server %s: no copy %s for request %s", s.ID, from, id)
			return s.refuse(c, id, 503)
		}
		resumed = true
		last, _ = strconv.Atoi("0" + r.Header.Get("Last-Event-Id"))
	}
	left := make(chan struct{})
	go func() {
		_, _ = in.Peek(1) // clients of a stream send nothing more
		close(left)
	}()
	total := 500
	if _, most, ok := strings.Cut(r.Header.Get("Token-Usage"), ","); ok {
		if n, err := strconv.Atoi(most); err == nil {
			total = n / stride
		}
	}
	if !resumed {
		select {
		case <-left:
			return false
		case <-time.After(s.Prefill):
		}
	}
	run := s.begin(id, resumed)
	run.last = last
	s.mu.Lock()
	s.running[id] = run
	s.mu.Unlock()
	backup := r.Header.Get("Kv-Backup")
	if backup != "" {
		s.mu.Lock()
		run.Copied = true
		s.mu.Unlock()
		s.World.addCopy(backup+"/"+id, &memory{id: id, at: backup, from: run})
	}
	s.World.Record.Add("server %s runs request %s from event %d (backup %q, from copy %q, answer lost %t)",
		s.ID, id, last+1, backup, r.Header.Get("Kv-From"), run.lost)
	how := s.generate(c, run, total, left)
	run.end(how)
	s.mu.Lock()
	if s.running[id] == run {
		delete(s.running, id)
	}
	s.mu.Unlock()
	s.World.Record.Add("server %s: its run of request %s ends: %s, last event %d", s.ID, id, how, run.last)
	return false
}

func (s *Server) generate(c net.Conn, run *Run, total int, left <-chan struct{}) string {
	head := false
	for run.last < total {
		select {
		case <-left:
			return "its connection closed"
		case <-run.drop:
			return "stopped for a move"
		case <-time.After(s.stepNow()):
		}
		run.mu.Lock()
		run.last++
		n := run.last
		run.events = append(run.events, time.Now())
		run.mu.Unlock()
		if run.lost {
			continue
		}
		if !head {
			head = true
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", run.ID, s.seal(run.ID))
		}
		text := eventText(run.ID, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return "its connection closed"
		}
	}
	if run.lost {
		<-left
		return "complete, its answer lost"
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return "complete"
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// move copies the memory of a run, and with last stops it first.
func (s *Server) move(c net.Conn, body []byte) bool {
	var m struct {
		ID     string `json:"id"`
		Target string `json:"target_version"`
		Last   bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return write(c, 400, http.Header{}, "")
	}
	s.mu.Lock()
	run := s.running[m.ID]
	s.mu.Unlock()
	if run == nil {
		return write(c, 404, http.Header{}, "")
	}
	time.Sleep(50 * time.Millisecond)
	if m.Last {
		run.once.Do(func() { close(run.drop) })
	}
	handle := "h" + m.ID
	s.World.addCopy(s.Addr+"/"+handle, &memory{id: m.ID, at: m.Target, from: run})
	run.mu.Lock()
	made := run.last
	run.mu.Unlock()
	s.World.Record.Add("server %s copies request %s to %s (last %t)", s.ID, m.ID, m.Target, m.Last)
	return write(c, 200, http.Header{"Content-Type": {"application/json"}}, fmt.Sprintf(`{"handle":%q,"made":%d}`, handle, made))
}

func (w *World) addCopy(name string, m *memory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies[name] = m
}

// takeCopy uses a copy, which serves a single time.
func (w *World) takeCopy(name, id, addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.copies[name]
	if m == nil || m.id != id || m.at != addr {
		return false
	}
	delete(w.copies, name)
	return true
}

func write(c net.Conn, status int, h http.Header, body string) bool {
	resp := &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)),
	}
	return resp.Write(c) == nil
}
