package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["budget"] = budgetAfterKill }

const (
	// ratio, floor and window are retry_budget_ratio, budget_min_retries and budget_window_s.
	ratio  = 0.2
	floor  = 52
	window = 10 * time.Second

	perSecond = 16
	length    = 14 * time.Second
	killAt    = 4 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// work is the time that a request takes at a server with one slot.
	work = 590 * time.Millisecond
)

const plainConfig = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"services":[{"name":"control","health_path":"/health","max_conns":96}],
"tenants":[{"name":"t1","api_keys":["k1"]}],
"routes":[{"name":"confirm","hostname":"a.example","path_prefix":"/confirm/","route_type":"non_idempotent","timeout_ms":600,"goal_ms":100,"priority":2,"service":"control","max_attempts":1}]}`

// arrivals are the arrivals at a service by request.
type arrivals struct {
	mu    sync.Mutex
	first map[string]bool
	again []time.Time
	sent  []time.Time
}

func (a *arrivals) arrive(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first[id] {
		a.again = append(a.again, time.Now())
	}
	a.first[id] = true
}

// within returns how many of some times lie in a window that begins at a time.
func within(times []time.Time, from time.Time) int {
	lo := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	hi := sort.Search(len(times), func(i int) bool { return times[i].After(from.Add(window)) })
	return hi - lo
}

// worst returns the window with the most arrivals beyond the bound: how many there are, and the bound.
func (a *arrivals) worst() (from time.Time, again int, bound float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	over := -1e9
	for _, at := range a.again {
		requests := max(within(a.sent, at), within(a.sent, at.Add(-window)), within(a.sent, at.Add(-window/2)))
		n, most := within(a.again, at), ratio*float64(requests)+floor
		if float64(n)-most > over {
			over, from, again, bound = float64(n)-most, at, n, most
		}
	}
	return from, again, bound
}

// budgetAfterKill: servers are full, and all boxes are killed at the same moment.
func budgetAfterKill(rec *record, trouble bool) (bool, error) {
	r, err := newRig(rec)
	if err != nil {
		return false, err
	}
	defer r.close()
	r.store.Put("config", "main", plainConfig)
	a := &arrivals{first: make(map[string]bool)}
	zones := []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"}
	for i := range 4 {
		zone := zones[i%len(zones)]
		id := fmt.Sprintf("i-%d", i)
		slot := make(chan struct{}, 1)
		if _, err := r.addServer(id, "control", zone, func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			attempt := q.Header.Get("Attempt-Id")
			a.arrive(attempt)
			select {
			case slot <- struct{}{}:
			default:
				rec.add("%s is full and rejects %s", id, attempt)
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer func() { <-slot }()
			rec.add("%s runs %s", id, attempt)
			time.Sleep(work)
			w.Header().Set("Response-Seal", seal(id, attempt))
			_, _ = io.WriteString(w, "confirmed")
		}); err != nil {
			return false, err
		}
	}
	for n := range 6 {
		if _, err := r.addBox(zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			time.Sleep(killAt)
			rec.add("trouble: all boxes are killed")
			for _, b := range r.boxes {
				b.kill()
			}
			time.Sleep(restartDelay)
			for _, b := range r.boxes {
				if err := b.start(); err != nil {
					rec.add("start: %v", err)
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(began) < length; n++ {
		<-ticker.C
		b := r.boxes[n%len(r.boxes)]
		id := fmt.Sprintf("%016x", 0xb000+n)
		a.mu.Lock()
		a.sent = append(a.sent, time.Now())
		a.mu.Unlock()
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			resp, _, err := send(ctx, b.front(), http.MethodPost, "a.example", "/confirm/x", map[string]string{
				"Attempt-Id": id, "Authorization": "Token k1", "Timeout-Ms": "600",
			}, strings.NewReader("setpoint"))
			if err != nil {
				rec.add("client got no answer to %s from %s: %v", id, b.name, err)
				return
			}
			rec.add("client got %d to %s from %s", resp.StatusCode, id, b.name)
		})
	}
	all.Wait()
	from, again, bound := a.worst()
	rec.add("in the 10 s from %.3f s on, %d arrivals past the first of each request, bound %.1f", from.Sub(rec.began).Seconds(), again, bound)
	return float64(again) <= bound, nil
}
