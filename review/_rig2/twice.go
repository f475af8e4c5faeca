package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["silent"] = silentConnections
	scenarios["slow"] = slowEngine
	scenarios["comments"] = commentLines
}

const (
	// overlap is how long two engines may work on one request.
	overlap = 400 * time.Millisecond
	// contact is contact_ms.
	contact = 3 * time.Second
	streams = 30
	engines = 7
	// playFor is how long clients wait after the trouble has begun.
	playFor = 14 * time.Second
	// slowFor is how long an engine is slow.
	slowFor = 5 * time.Second
	// commentAfter is the silence after which engines send a comment line.
	commentAfter = 180 * time.Millisecond
)

const streamConfig = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"services":[{"name":"engines","health_path":"/health","max_conns":232,"engine":{"slots":24,"kv_capacity":90000,"kv_token_bytes":327680,"link_mbps":47000,"moves":true,"backups":true,"stride":4,"handle_s":8}}],
"tenants":[{"name":"t1","api_keys":["k1"]}],
"routes":[{"name":"advice","hostname":"a.example","path_prefix":"/advice/","route_type":"streaming","timeout_ms":39000,"goal_ms":1800,"gap_aim_ms":180,"priority":1,"service":"engines","max_attempts":1,"sticky":true}]}`

// received is what a client got of a stream.
type received struct {
	// last is the number of the last event, missing are those that did not come, twice those that came again.
	last           int
	missing, twice []int
	// whole is set if the answer ended as a complete one.
	whole bool
}

// stream sends a streaming request and reads its events.
func stream(ctx context.Context, addr, id string, tokens int) (got received) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/advice/x", strings.NewReader("prompt"))
	if err != nil {
		return got
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Token k1", "Timeout-Ms": "39000", "Model": "m",
		"Token-Usage": fmt.Sprintf("3000,%d", tokens), "Length-Hint": fmt.Sprint(tokens), "Prefix-Hash": "5c1e07a2:79," + id + ":2921",
	} {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return got
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got
	}
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		var n int
		if text, found := strings.CutPrefix(in.Text(), "id: "); !found {
			continue
		} else if _, err := fmt.Sscan(text, &n); err != nil {
			continue
		}
		if n <= got.last {
			got.twice = append(got.twice, n)
			continue
		}
		for m := got.last + 1; m < n; m++ {
			got.missing = append(got.missing, m)
		}
		got.last = n
	}
	got.whole = in.Err() == nil
	return got
}

// overlaps watches the engines and records each request that goes on at one while another still works on it.
type overlaps struct {
	rec   *record
	fleet *fleet
	// from is the time from which on the machine is in touch.
	from  time.Time
	mu    sync.Mutex
	found map[string]string
}

func (o *overlaps) watch(ctx context.Context, ids []string) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, id := range ids {
			names, began := o.fleet.working(id)
			// The newer run proceeds with its first event.
			if len(names) < 2 || now.Sub(began[0]) < eventGap+overlap || now.Sub(o.from) < overlap {
				continue
			}
			o.mu.Lock()
			if o.found[id] == "" {
				o.found[id] = names[1]
				o.rec.add("%s began at %s %d ms ago, and %s still works on it", id, names[0], now.Sub(began[0]).Milliseconds(), names[1])
			}
			o.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// streamPlay is what differs between the cases with streams.
type streamPlay struct {
	// byWrite is set if engines find out by a failed write that a connection has closed, proxied if a proxy stands before
	// each engine. comments is the silence after which engines send a comment line.
	byWrite, proxied bool
	comments         time.Duration
	// trouble, if set, begins in the middle. It returns from when on the machine is in touch.
	trouble func(f *fleet, proxies map[string]*proxy) (from time.Time)
}

// outcome counts the requests that two engines worked on at once, and the streams that clients got with a gap or a repetition.
type outcome struct{ overlapped, disordered int }

// playStreams plays streams on three engines, makes the trouble in the middle, and counts the requests at which two engines worked.
func playStreams(rec *record, play streamPlay) (outcome, error) {
	r, err := newRig(rec)
	if err != nil {
		return outcome{}, err
	}
	defer r.close()
	r.store.Put("config", "main", streamConfig)
	f := newFleet(r, 150)
	proxies := make(map[string]*proxy)
	zones := []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"}
	for i := range engines {
		id, zone := fmt.Sprintf("i-%d", i), zones[i%len(zones)]
		var advertise func(string) (string, error)
		if play.proxied {
			advertise = func(addr string) (string, error) {
				p, err := newProxy(r.ip(200+i), addr)
				if err != nil {
					return "", err
				}
				proxies[id] = p
				return p.ln.Addr().String(), nil
			}
		}
		e, err := f.add(id, zone, play.byWrite, advertise)
		if err != nil {
			return outcome{}, err
		}
		e.comments = play.comments
	}
	for _, zone := range zones {
		if _, err := r.addBox(zone); err != nil {
			return outcome{}, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return outcome{}, err
	}
	time.Sleep(contact + time.Second) // all boxes are in touch
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	var disordered atomic.Int64
	var ids []string
	for n := range streams {
		id := fmt.Sprintf("%016x", 0xa0+n)
		ids = append(ids, id)
		b := r.boxes[n%len(r.boxes)]
		all.Go(func() {
			rec.add("client sends %s to %s", id, b.name)
			got := stream(ctx, b.front(), id, f.events*stride)
			rec.add("client got %s from %s up to event %d, missing %v, twice %v, whole %v", id, b.name, got.last, got.missing, got.twice, got.whole)
			if len(got.missing)+len(got.twice) > 0 {
				disordered.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	o := &overlaps{rec: rec, fleet: f, from: time.Now(), found: make(map[string]string)}
	time.Sleep(time.Second)
	if play.trouble != nil {
		o.from = play.trouble(f, proxies)
	}
	go o.watch(ctx, ids)
	time.AfterFunc(playFor, cancel)
	all.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	rec.add("%d of %d requests were worked on by two engines at once", len(o.found), streams)
	rec.add("%d of %d streams lack an event or have one twice", disordered.Load(), streams)
	return outcome{overlapped: len(o.found), disordered: int(disordered.Load())}, nil
}

// silentConnections: the open connections to one engine fall silent, while new ones work.
func silentConnections(rec *record, trouble bool) (bool, error) {
	play := streamPlay{proxied: true}
	if trouble {
		play.trouble = func(_ *fleet, proxies map[string]*proxy) time.Time {
			n := proxies["i-0"].silence()
			rec.add("trouble: %d open connections to i-0 fall silent", n)
			return time.Now().Add(contact)
		}
	}
	got, err := playStreams(rec, play)
	return got.overlapped == 0, err
}

// slowDown makes the first engine work some times as long.
func slowDown(rec *record, times int64) func(*fleet, map[string]*proxy) time.Time {
	return func(f *fleet, _ map[string]*proxy) time.Time {
		for _, e := range f.engines {
			if e.id == "i-0" {
				e.slow.Store(times)
				time.AfterFunc(slowFor, func() {
					e.slow.Store(0)
					rec.add("i-0 works as before")
				})
			}
		}
		rec.add("trouble: i-0 works %d times as long, for %v", times, slowFor)
		return time.Now().Add(-time.Second)
	}
}

// slowEngine: an engine works eight times as long for a while; engines drop a request when a write to its connection fails.
func slowEngine(rec *record, trouble bool) (bool, error) {
	play := streamPlay{byWrite: true}
	if trouble {
		play.trouble = slowDown(rec, 8)
	}
	got, err := playStreams(rec, play)
	return got.overlapped == 0, err
}

// commentLines: an engine works four times as long for a while, and engines send a comment line when they have nothing to send for a while.
func commentLines(rec *record, trouble bool) (bool, error) {
	play := streamPlay{comments: commentAfter}
	if trouble {
		play.trouble = slowDown(rec, 4)
	}
	got, err := playStreams(rec, play)
	return got.disordered == 0, err
}
