package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drainBound and configBound are drain_ms and config_apply_ms of the settings.
	drainBound  = 2000 * time.Millisecond
	configBound = 2000 * time.Millisecond
	// followTime is within which a box that follows the store calls it at least once.
	followTime = 2500 * time.Millisecond
	oldKey     = "wsjnbanfqasnmgkcuyj8"
	// requestInterval is the time between two requests at a box with one key.
	requestInterval = 40 * time.Millisecond
)

// runCut partitions the boxes that follow the store from it, all at once. Right after, a server says that it
// drains, and a key is taken away. The other boxes reach the store all the time.
func runCut(record *Record, trouble bool) (int, error) {
	w, err := NewWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.Close()
	routes := []Route{streamRoute(), plainRoute()}
	w.PutConfig(7, routes, oldKey)
	var plain []*Server
	for i, zone := range []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"} {
		s, err := w.StartServer(fmt.Sprintf("i-plain%d", i+1), plainService, zone, false)
		if err != nil {
			return failed, err
		}
		plain = append(plain, s)
		if _, err := w.StartServer(fmt.Sprintf("i-engine%d", i+1), llmService, zone, true); err != nil {
			return failed, err
		}
	}
	if err := w.StartBoxes("kumamoto-hall", "saga-hall", "miyazaki-hall", "kumamoto-hall", "saga-hall", "kumamoto-hall"); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	calls := &callers{world: w}
	stop := calls.start(ctx)
	time.Sleep(8 * time.Second)
	// Ordinary changes, known to all boxes before the partition begins.
	if _, err := w.StartServer("i-plain4", plainService, "saga-hall", false); err != nil {
		return failed, err
	}
	w.PutConfig(8, routes, oldKey)
	time.Sleep(60 * time.Millisecond)
	cut := make(map[string]bool)
	if trouble {
		for _, b := range w.boxes {
			if time.Since(b.Store.Used()) < followTime {
				cut[b.Name] = true
				b.Store.Cut(true)
				record.Add("box %s is partitioned from the store", b.Name)
			}
		}
		if len(cut) == 0 || len(cut) == len(w.boxes) {
			return failed, fmt.Errorf("%d of %d boxes follow the store", len(cut), len(w.boxes))
		}
	}
	time.Sleep(20 * time.Millisecond)
	leaving := plain[0]
	drained := leaving.Register("draining")
	revoked := w.PutConfig(9, routes)
	time.Sleep(6 * time.Second)
	for _, b := range w.boxes {
		b.Store.Cut(false)
	}
	time.Sleep(time.Second)
	stop()
	return calls.judge(record, cut, leaving, drained, revoked), nil
}

// callers send plain requests to all boxes, with both keys.
type callers struct {
	world *World

	mu      sync.Mutex
	replies []*Reply
}

// start starts the callers and returns what ends them.
func (c *callers) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i, b := range c.world.boxes {
		for j, key := range []string{apiKey, oldKey} {
			all.Go(func() {
				for n := 0; sleep(ctx, requestInterval); n++ {
					id := fmt.Sprintf("%d-%d-%06x", i, j, n)
					all.Go(func() {
						re := Plain(context.Background(), b.Front(), "/pule252/2f", id, key, 600*time.Millisecond, c.world.Record)
						c.mu.Lock()
						defer c.mu.Unlock()
						c.replies = append(c.replies, re)
					})
				}
			})
		}
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// judge applies the rules to what the machines in touch did: those that nothing was done to.
func (c *callers) judge(record *Record, cut map[string]bool, leaving *Server, drained, revoked time.Time) int {
	code := held
	inTouch := func(id string) (string, bool) {
		var i int
		_, _ = fmt.Sscanf(id, "%d-", &i)
		name := c.world.boxes[i].Name
		return name, !cut[name]
	}
	late := 0
	for _, a := range leaving.Arrivals() {
		after := a.At.Sub(drained)
		if name, ok := inTouch(a.ID); ok && after > drainBound {
			late++
			record.Add("DRAIN: request %s of box %s reached server %s at %.3f, %d ms after the store had acknowledged that it drains",
				a.ID, name, leaving.ID, record.At(a.At), after.Milliseconds())
		}
	}
	old := 0
	for _, re := range c.replies {
		after := re.Sent.Sub(revoked)
		name, ok := inTouch(re.ID)
		if ok && strings.HasPrefix(re.ID[strings.IndexByte(re.ID, '-')+1:], "1-") && after > configBound && re.Status == 200 {
			old++
			record.Add("CONFIG: request %s sent to box %s at %.3f was served, %d ms after its key was taken away", re.ID, name,
				record.At(re.Sent), after.Milliseconds())
		}
	}
	if late+old > 0 {
		code = broken
	}
	statuses := make(map[int]int)
	for _, re := range c.replies {
		statuses[re.Status]++
	}
	record.Add("answers by status: %v; %d late arrivals at the draining server, %d requests served with the key that was taken away", statuses, late, old)
	return code
}
