package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	switchStreams = 40
	// slowFactor and slowTime are how many times as long one of the four engines works, and for how long: twice
	// the bench's usual factor, and less than its usual time.
	slowFactor = 8
	slowTime   = 2 * time.Second
	// overlapBound is from the rule: the previous server may work on for that long.
	overlapBound = 400 * time.Millisecond
)

// runSwitch has one of four engines turn slow for a while. One answer of another engine is lost: that of the first
// request that begins there from then on.
func runSwitch(record *Record, trouble bool) (int, error) {
	w, err := NewWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.Close()
	w.PutConfig(7, []Route{streamRoute(), plainRoute()})
	zones := []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"}
	servers := append([]string{"kumamoto-hall"}, zones...)
	var engines []*Server
	for i, zone := range servers {
		e, err := w.StartServer(fmt.Sprintf("i-engine%d", i+1), llmService, zone, true)
		if err != nil {
			return failed, err
		}
		engines = append(engines, e)
		if _, err := w.StartServer(fmt.Sprintf("i-plain%d", i+1), plainService, zone, false); err != nil {
			return failed, err
		}
	}
	if err := w.StartBoxes(zones...); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var all sync.WaitGroup
	replies := make([]*Reply, switchStreams)
	for i := range replies {
		all.Go(func() {
			replies[i] = Stream(ctx, w.boxes[i%len(w.boxes)].Front(), fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(i)), 500, 600, record)
		})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		victim := engines[0]
		for _, e := range engines {
			if e.Copied() > victim.Copied() {
				victim = e
			}
		}
		// LOSE=0 leaves the lost answer out; the engine turns slow all the same.
		if os.Getenv("LOSE") != "0" {
			w.LoseAnswers(1, victim)
		}
		victim.SlowDown(slowFactor, slowTime)
	}
	all.Wait()
	return judgeSwitch(record, engines, replies), nil
}

func judgeSwitch(record *Record, engines []*Server, replies []*Reply) int {
	byID := make(map[string][]*Run)
	for _, e := range engines {
		for _, r := range e.Runs() {
			byID[r.ID] = append(byID[r.ID], r)
		}
	}
	code, resumed := held, 0
	for id, runs := range byID {
		for _, next := range runs {
			if !next.Resumed {
				continue
			}
			resumed++
			for _, before := range runs {
				if before == next || before.From.After(next.From) {
					continue
				}
				_, to := before.Span()
				over := to.Sub(next.From)
				record.Add("request %s: %s went on with it from %.3f, %s worked on it until %.3f, %d ms longer", id, next.Server.ID,
					record.At(next.From), before.Server.ID, record.At(to), over.Milliseconds())
				made := 0
				for _, t := range before.Events() {
					if t.After(next.From.Add(overlapBound)) {
						made++
					}
				}
				if over > overlapBound && made > 0 {
					record.Add("TWICE: request %s ran at %s and, %d ms later, still at %s, which made %d more events", id, next.Server.ID,
						over.Milliseconds(), before.Server.ID, made)
					code = broken
				}
			}
		}
	}
	whole := 0
	for _, r := range replies {
		if r.Whole && len(r.Events) == 150 {
			whole++
		}
	}
	record.Add("%d of %d streams reached their clients whole; %d went on at another server", whole, len(replies), resumed)
	return code
}
