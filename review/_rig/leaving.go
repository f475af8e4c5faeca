package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// runLeaving has a server say in its answers that it leaves, while no box reaches the store, and another one turn
// requests away and ask for rest.
func runLeaving(record *Record, trouble bool) (int, error) {
	w, err := NewWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.Close()
	w.PutConfig(7, []Route{streamRoute(), plainRoute()}, oldKey)
	var plain []*Server
	for i, zone := range []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"} {
		s, err := w.StartServer(fmt.Sprintf("i-plain%d", i+1), plainService, zone, false)
		if err != nil {
			return failed, err
		}
		plain = append(plain, s)
	}
	if err := w.StartBoxes("kumamoto-hall", "saga-hall", "miyazaki-hall"); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	calls := &callers{world: w}
	stop := calls.start(ctx)
	time.Sleep(5 * time.Second)
	for _, b := range w.boxes {
		b.Store.Cut(true)
	}
	from := time.Now()
	if trouble {
		plain[0].Announce(http.Header{"Server-Leaving": {"1"}}, false)
	}
	time.Sleep(6 * time.Second)
	rest := time.Now()
	if trouble {
		plain[1].Announce(http.Header{"Retry-After": {"3"}}, true)
	}
	time.Sleep(5 * time.Second)
	stop()
	first := map[byte]time.Time{}
	late, resting := 0, map[byte]int{}
	for _, a := range plain[0].Arrivals() {
		if a.At.Before(from) {
			continue
		}
		box := a.ID[0]
		if t, ok := first[box]; !ok {
			first[box] = a.At
		} else if a.At.Sub(t) > drainBound {
			late++
			record.Add("DRAIN: request %s reached server %s %d ms after the first that it answered so", a.ID, plain[0].ID, a.At.Sub(t).Milliseconds())
		}
	}
	asked := map[byte]time.Time{}
	for _, a := range plain[1].Arrivals() {
		if a.At.Before(rest) {
			continue
		}
		box := a.ID[0]
		t, ok := asked[box]
		if !ok {
			asked[box] = a.At
			continue
		}
		if since := a.At.Sub(t); since > 500*time.Millisecond && since < 3*time.Second {
			resting[box]++
		}
	}
	code := held
	if trouble {
		for box, n := range resting {
			record.Add("box %c sent %d requests to %s while it had asked for rest", box, n, plain[1].ID)
			if n > 2 {
				code = broken
			}
		}
		if late > 0 {
			code = broken
		}
	}
	record.Add("%d late arrivals at the leaving server", late)
	return code, nil
}
